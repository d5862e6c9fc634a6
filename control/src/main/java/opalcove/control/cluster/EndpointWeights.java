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
 * Computes the weights of the backends from the capacity shares that the decision module allows. A share that changes
 * by less than a tenth of its value is ignored, so that proxies receive about twenty updates during a slow start and
 * none for noise in load reports. A growing share never exceeds the share that the module allows.
 *
 * <p>Owned by the thread of its {@link ClusterState}.
 */
final class EndpointWeights {
    /** The weight of a backend of size 1 after its slow start; weights are integers. */
    private static final int FULL_WEIGHT = 100;
    /** A share that changes by no more than this fraction of its value is left unchanged. */
    private static final double MIN_RELATIVE_CHANGE = 0.1;
    /** A share of at least this value is rounded up to 1. */
    private static final double FULL_SHARE = 0.99;

    /** The shares that proxies currently see, by backend name. */
    private final Map<String, Double> shares = new HashMap<>();

    /**
     * Applies the shares that the module currently allows and returns whether a share that proxies see has changed.
     *
     * @param backends the names of all backends; the shares of other backends are removed
     */
    boolean update(List<CapacityShare> allowed, Set<String> backends) {
        boolean changed = false;
        shares.keySet().retainAll(backends);
        for (CapacityShare each : allowed) {
            double share = each.share() >= FULL_SHARE ? 1 : each.share();
            double before = shares.getOrDefault(each.backend(), 0.0);
            boolean shareChanged =
                    share != before && (Math.abs(share - before) > MIN_RELATIVE_CHANGE * before || share == 1);
            if (backends.contains(each.backend()) && shareChanged) {
                shares.put(each.backend(), share);
                changed = true;
            }
        }
        return changed;
    }

    /**
     * Returns the backend as an endpoint for proxies. A backend that takes no new requests is draining and has weight
     * 1.
     */
    ResourceFactory.WeightedEndpoint weighted(Backend backend) {
        double share = shares.getOrDefault(backend.name(), 0.0);
        boolean takesNewRequests = share > 0 && backend.endpoint().state() == EndpointState.UP;
        int colon = backend.address().lastIndexOf(':');
        return new ResourceFactory.WeightedEndpoint(
                backend.address().substring(0, colon),
                Integer.parseInt(backend.address().substring(colon + 1)),
                takesNewRequests
                        ? Math.max(1, (int)
                                (FULL_WEIGHT * share * backend.endpoint().size()))
                        : 1,
                !takesNewRequests);
    }
}
