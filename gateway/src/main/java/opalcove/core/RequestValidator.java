package opalcove.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Idempotency;

/**
 * The rules that a request must satisfy under this deployment's settings, independent of the wire protocol. They keep
 * out values that no client of a regular tenant would send, so that nobody can corrupt the module's records of a tenant
 * by sending such values under its name. Immutable.
 */
public final class RequestValidator {
    /** Tenant ids are numbers below this. */
    private static final long TENANT_LIMIT = 1L << 33;

    private static final int MAX_KEY_LENGTH = 64;

    private final Map<String, DecisionSettings.RequestClass> classes = new HashMap<>();
    private final Set<String> plans = new HashSet<>();
    private final int gateways;
    private final double maxUnits;

    /** Creates a validator for these settings. */
    public RequestValidator(DecisionSettings settings) {
        settings.classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
        settings.plans().forEach(plan -> plans.add(plan.name()));
        gateways = settings.gateways();
        maxUnits = settings.limits().maxUnits();
    }

    /** Returns the names of the request classes, for a front end that decodes them from bytes. */
    public List<String> classNames() {
        return List.copyOf(classes.keySet());
    }

    /** Returns the names of the plan classes. */
    public List<String> planNames() {
        return List.copyOf(plans);
    }

    /**
     * Returns the request class of that name.
     *
     * @throws InvalidRequestException if there is none
     */
    public DecisionSettings.RequestClass requestClass(String name) throws InvalidRequestException {
        DecisionSettings.RequestClass known = classes.get(name);
        if (known == null) {
            throw new InvalidRequestException("unknown class");
        }
        return known;
    }

    /**
     * Returns the request if it may be accepted.
     *
     * @throws InvalidRequestException if it may not; the message is sent to the client
     */
    public Request validate(Request request) throws InvalidRequestException {
        DecisionSettings.RequestClass known = requestClass(request.requestClass());
        require(plans.contains(request.plan()), "unknown plan");
        require(
                Long.compareUnsigned(
                                Long.parseUnsignedLong(RequestParameters.hexId(request.tenant(), "the operator"), 16),
                                TENANT_LIMIT)
                        < 0,
                "the operator is out of range");
        require(request.units() > 0 && request.units() <= maxUnits, "the units are out of range");
        require(
                request.timeoutMs() > 0 && request.timeoutMs() <= known.deadlineMs(),
                "the time to wait is out of range");
        require(
                request.gatewayCount() >= 1
                        && request.gatewayCount() <= gateways
                        && request.firstGateway() >= 0
                        && request.firstGateway() < gateways,
                "the operator's gateways are out of range");
        require(
                (request.idempotencyKey() == null) != (known.idempotency() == Idempotency.KEYED),
                "a key for a class without, or none");
        // A comma would end the key on the wire to a backend.
        require(
                request.idempotencyKey() == null
                        || request.idempotencyKey().length() <= MAX_KEY_LENGTH
                                && isForwardable(request.idempotencyKey()),
                "the key cannot be passed on");
        return request;
    }

    private static boolean isForwardable(String key) {
        for (int i = 0; i < key.length(); i++) {
            if (key.charAt(i) <= ' ' || key.charAt(i) > '~' || key.charAt(i) == ',') {
                return false;
            }
        }
        return true;
    }

    private static void require(boolean holds, String reason) throws InvalidRequestException {
        if (!holds) {
            throw new InvalidRequestException(reason);
        }
    }
}
