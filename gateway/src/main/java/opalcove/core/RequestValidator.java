package opalcove.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Idempotency;

/**
 * What an ask must be like under this deployment's settings, whatever the wire it came by. Guards the module's books on
 * a usual operator against figures that none of its terminals would send under its name.
 */
public final class RequestValidator {
    /** Operators are numbers below this. */
    private static final long OPERATORS = 1L << 33;

    private static final int LONGEST_KEY = 64;

    private final Map<String, DecisionSettings.RequestClass> classes = new HashMap<>();
    private final Set<String> plans = new HashSet<>();
    private final int gateways;
    private final double maxUnits;

    /** Checks requests by these settings. */
    public RequestValidator(DecisionSettings settings) {
        settings.classes().forEach(c -> classes.put(c.name(), c));
        settings.plans().forEach(p -> plans.add(p.name()));
        gateways = settings.gateways();
        maxUnits = settings.limits().maxUnits();
    }

    /** The names of the classes, for a front that reads them from bytes. */
    public List<String> classNames() {
        return List.copyOf(classes.keySet());
    }

    /** The names of the plans. */
    public List<String> planNames() {
        return List.copyOf(plans);
    }

    /** The class of that name. */
    public DecisionSettings.RequestClass requestClass(String name) throws InvalidRequestException {
        DecisionSettings.RequestClass known = classes.get(name);
        if (known == null) {
            throw new InvalidRequestException("unknown class");
        }
        return known;
    }

    /** The ask as it is, if it may be taken. */
    public Request validate(Request request) throws InvalidRequestException {
        DecisionSettings.RequestClass known = requestClass(request.requestClass());
        need(plans.contains(request.plan()), "unknown plan");
        need(
                Long.compareUnsigned(
                                Long.parseUnsignedLong(RequestParameters.hexId(request.tenant(), "the operator"), 16),
                                OPERATORS)
                        < 0,
                "the operator is out of range");
        need(request.units() > 0 && request.units() <= maxUnits, "the units are out of range");
        need(request.timeoutMs() > 0 && request.timeoutMs() <= known.deadlineMs(), "the time to wait is out of range");
        need(
                request.gatewayCount() >= 1
                        && request.gatewayCount() <= gateways
                        && request.firstGateway() >= 0
                        && request.firstGateway() < gateways,
                "the operator's gateways are out of range");
        need(
                (request.idempotencyKey() == null) != (known.idempotency() == Idempotency.KEYED),
                "a key for a class without, or none");
        // A comma would end the key on the wire to an app node.
        need(
                request.idempotencyKey() == null
                        || request.idempotencyKey().length() <= LONGEST_KEY && passesOn(request.idempotencyKey()),
                "the key cannot be passed on");
        return request;
    }

    private static boolean passesOn(String key) {
        for (int i = 0; i < key.length(); i++) {
            if (key.charAt(i) <= ' ' || key.charAt(i) > '~' || key.charAt(i) == ',') {
                return false;
            }
        }
        return true;
    }

    private static void need(boolean holds, String otherwise) throws InvalidRequestException {
        if (!holds) {
            throw new InvalidRequestException(otherwise);
        }
    }
}
