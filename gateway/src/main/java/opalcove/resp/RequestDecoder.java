package opalcove.resp;

import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import opalcove.core.InvalidRequestException;
import opalcove.core.Request;
import opalcove.core.RequestParameters;
import opalcove.core.RequestValidator;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Idempotency;

/** Decodes requests from commands of clients. Owned by the server's event loop. */
final class RequestDecoder {
    static final String QUERY = "SVC.QUERY";
    static final String SUBMIT = "SVC.SUBMIT";

    private static final int TENANT = 1;
    private static final int ID = 2;
    static final int PARAMETERS = 3;
    static final int BODY = 4;

    /** The maximum number of parameters of a request, known or not. */
    static final int MAX_PARAMETERS = 64;

    private final Supplier<RequestValidator> newestValidator;
    private final ParameterDecoder parameters = new ParameterDecoder(PARAMETERS);
    private RequestValidator validator;

    /**
     * Creates a decoder.
     *
     * @param newestValidator returns the validator of the settings in force, which may be replaced at any time
     */
    RequestDecoder(Supplier<RequestValidator> newestValidator) {
        this.newestValidator = newestValidator;
        useNewestValidator();
    }

    private void useNewestValidator() {
        validator = newestValidator.get();
        parameters.setNames(validator.classNames(), validator.planNames());
    }

    /** Whether the command is a request; its name is compared case-insensitively. */
    static boolean isRequest(RespDecoder command) {
        return isNamed(command, QUERY) || isNamed(command, SUBMIT);
    }

    /** Whether this is the command's name, compared case-insensitively. */
    static boolean isNamed(RespDecoder command, String name) {
        boolean same = command.length(0) == name.length();
        for (int i = 0; same && i < name.length(); i++) {
            same = Character.toUpperCase(command.byteAt(0, i)) == name.charAt(i);
        }
        return same;
    }

    /**
     * Decodes the request of a command. The body, if there is one, is copied to a buffer that the socket allocates, and
     * the caller must release it once the request no longer needs it.
     *
     * @throws InvalidRequestException if the request is invalid; the message is sent to the client
     */
    Request decode(RespDecoder command, RawSocket socket) throws InvalidRequestException {
        if (newestValidator.get() != validator) {
            useNewestValidator();
        }
        boolean isSubmit = isNamed(command, SUBMIT);
        if (command.itemCount() != (isSubmit ? 5 : 4)) {
            throw new InvalidRequestException("wrong number of words for " + (isSubmit ? SUBMIT : QUERY));
        }
        Request request = decodeCommonForm(command, isSubmit);
        if (request == null) {
            request = decodeAnyForm(command, isSubmit);
        }
        if (!isSubmit) {
            return request;
        }
        ByteBuf body = socket.allocate(Math.max(1, command.length(BODY))).writeBytes(command.slice(BODY));
        return new Request(
                request.id(),
                request.tenant(),
                request.requestClass(),
                request.plan(),
                request.units(),
                request.timeoutMs(),
                request.idempotencyKey(),
                request.retry(),
                request.gatewayCount(),
                request.firstGateway(),
                body);
    }

    /** Decodes a request of the common form in one pass over its bytes; returns null if it has any other form. */
    private Request decodeCommonForm(RespDecoder command, boolean isSubmit) throws InvalidRequestException {
        if (!parameters.decode(command) || !parameters.isComplete()) {
            return null;
        }
        Idempotency effect = validator.requestClass(parameters.requestClass()).idempotency();
        boolean isKeyed = effect == Idempotency.KEYED;
        boolean isKeyMissing = parameters.key() == null || parameters.key().isEmpty();
        if (isSubmit == (effect == Idempotency.SAFE) || isKeyed && isKeyMissing) {
            return null;
        }
        return validator.validate(new Request(
                RequestParameters.hexId(command.text(ID), "the id"),
                command.text(TENANT),
                parameters.requestClass(),
                parameters.plan(),
                parameters.units(),
                parameters.waitMs(),
                isKeyed ? parameters.key() : null,
                parameters.isRetry(),
                parameters.spread(),
                parameters.first(),
                null));
    }

    /** Decodes a request of any form, and reports what is wrong with an invalid one. */
    private Request decodeAnyForm(RespDecoder command, boolean isSubmit) throws InvalidRequestException {
        RequestParameters values = new RequestParameters(splitParameters(command.text(PARAMETERS)));
        String className = values.required("c");
        try {
            DecisionSettings.RequestClass requestClass = validator.requestClass(className);
            if (isSubmit == (requestClass.idempotency() == Idempotency.SAFE)) {
                throw new InvalidRequestException(
                        (isSubmit ? SUBMIT : QUERY) + " does not serve " + requestClass.name());
            }
            boolean isKeyed = requestClass.idempotency() == Idempotency.KEYED;
            return validator.validate(new Request(
                    RequestParameters.hexId(command.text(ID), "the id"),
                    command.text(TENANT),
                    requestClass.name(),
                    values.required("t"),
                    values.number("units"),
                    values.number("d"),
                    isKeyed ? values.required("k") : null,
                    values.isSet("r"),
                    values.integer("spread"),
                    values.integer("first"),
                    null));
        } catch (InvalidRequestException e) {
            // The metrics count the failure in the class that the request names, even if that class is unknown.
            throw new InvalidRequestException(e.getMessage(), className);
        }
    }

    static Map<String, String> splitParameters(String text) throws InvalidRequestException {
        // Guards the event loop against parameters by the thousand, each of which costs time and memory.
        String[] parameters = text.split(",", MAX_PARAMETERS + 1);
        if (parameters.length > MAX_PARAMETERS) {
            throw new InvalidRequestException("more than " + MAX_PARAMETERS + " parameters");
        }
        Map<String, String> values = new HashMap<>();
        for (String parameter : parameters) {
            int equals = parameter.indexOf('=');
            if (equals < 1) {
                throw new InvalidRequestException("expected name=value");
            }
            if (values.put(parameter.substring(0, equals), parameter.substring(equals + 1)) != null) {
                throw new InvalidRequestException("a name comes twice");
            }
        }
        return values;
    }
}
