package opalcove.control.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import opalcove.config.Backend;
import opalcove.control.xds.ResourceFactory;
import opalcove.decision.CapacityShare;
import opalcove.decision.EndpointState;

/**
 * The weights of the backends, from the capacity shares that the decision module allows. A share that moved by less than a tenth
 * keeps its former value, so that slow start changes what proxies see some twenty times, and noise in reports does not at all.
 * A growing share is never ahead of what the module allows.
 *
 * <p>Owned by the thread of its {@link ClusterState}.
 */
final class EndpointWeights {
    /** The weight of a warm backend of size 1; weights are whole numbers. */
    private static final int FULL_WEIGHT = 100;
    /** A share that moved by less than this part of it keeps its value. */
    private static final double MIN_RELATIVE_CHANGE = 0.1;
    /** From this share on it counts as all. */
    private static final double FULL_SHARE = 0.99;

    /** By backend, as proxies see them. */
    private final Map<String, Double> shares = new HashMap<>();

    /**
     * Applies the shares that the module allows now and returns whether a share has changed.
     *
     * @param backends the names of all backends; the shares of others are forgotten
     */
    boolean update(List<CapacityShare> allowed, Set<String> backends) {
        boolean changed = false;
        shares.keySet().retainAll(backends);
        for (CapacityShare each : allowed) {
            double share = each.share() >= FULL_SHARE ? 1 : each.share();
            double before = shares.getOrDefault(each.backend(), 0.0);
            boolean moved = share != before && (Math.abs(share - before) > MIN_RELATIVE_CHANGE * before || share == 1);
            if (backends.contains(each.backend()) && moved) {
                shares.put(each.backend(), share);
                changed = true;
            }
        }
        return changed;
    }

    /** The backend as proxies are to see it. One that takes nothing new is draining, with the least weight there is. */
    ResourceFactory.WeightedEndpoint weighted(Backend backend) {
        double share = shares.getOrDefault(backend.name(), 0.0);
        boolean takesNewWork = share > 0 && backend.endpoint().state() == EndpointState.UP;
        int colon = backend.address().lastIndexOf(':');
        return new ResourceFactory.WeightedEndpoint(
                backend.address().substring(0, colon),
                Integer.parseInt(backend.address().substring(colon + 1)),
                takesNewWork
                        ? Math.max(1, (int)
                                (FULL_WEIGHT * share * backend.endpoint().size()))
                        : 1,
                !takesNewWork);
    }
}
