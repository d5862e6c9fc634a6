package opalcove.control.xds;

import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The protocol state of one stream with all its resource types. Does no I/O and starts no threads: it takes requests
 * and returns the responses that are due, in the order in which the client can apply them. It queues nothing; a
 * response holds the latest state.
 *
 * <p>Updates are make-before-break (xDS protocol, "Eventual consistency considerations"): clusters and endpoints are
 * sent first, listeners and routes after the client has acknowledged the new clusters and endpoints, and removed
 * clusters are deleted once the client has accepted listeners and routes. The stream waits for an acknowledgement for
 * at most {@link #ACK_TIMEOUT_MS}. For a client that rejects its listeners or routes, the clusters of the previous ones
 * are retained for {@link #REJECTED_ROUTES_RETENTION_MS}. Endpoints are never delayed: the creator of the snapshots
 * leaves the endpoints of a removed cluster in them for the same time and up to date, including drains.
 *
 * <p>Times are milliseconds of one monotonic clock. Owned by the thread that calls it.
 *
 * @param <RequestT> requests of this variant of the protocol
 * @param <ResponseT> responses of this variant
 */
public final class XdsStream<RequestT, ResponseT> {
    /** Maximum time to wait for the acknowledgement of another type, ms. */
    static final double ACK_TIMEOUT_MS = 1000;

    /** How long a removed cluster is retained for a client that rejects the routes that no longer use it, ms. */
    static final double REJECTED_ROUTES_RETENTION_MS = 60_000;

    private final Map<ResourceType, ResourceSubscription<RequestT, ResponseT>> subscriptions =
            new EnumMap<>(ResourceType.class);
    private final Function<ResourceType, ResourceSubscription<RequestT, ResponseT>> subscriptionFactory;
    /** The last snapshot of which the client still has all clusters. */
    private ConfigSnapshot retained = ConfigSnapshot.EMPTY;

    /** When the delay of listeners and routes began, ms; NaN if they are not delayed. */
    private double routesDelayedSinceMs = Double.NaN;
    /** When the retention of removed clusters began, ms; NaN if none is retained. */
    private double clustersRetainedSinceMs = Double.NaN;

    private XdsStream(Function<ResourceType, ResourceSubscription<RequestT, ResponseT>> subscriptionFactory) {
        this.subscriptionFactory = subscriptionFactory;
    }

    /**
     * Opens a state-of-the-world stream.
     *
     * @param noncePrefix prefix of the nonces of this stream; unique among all streams
     * @param wrapsResources whether the client accepts resources wrapped in a Resource message, which carries their
     *     lifetime
     */
    public static XdsStream<DiscoveryRequest, DiscoveryResponse> sotw(String noncePrefix, boolean wrapsResources) {
        return new XdsStream<>(type -> new SotwSubscription(type, noncePrefix, wrapsResources));
    }

    /**
     * Opens an incremental stream.
     *
     * @param noncePrefix prefix of the nonces of this stream; unique among all streams
     */
    public static XdsStream<DeltaDiscoveryRequest, DeltaDiscoveryResponse> delta(String noncePrefix) {
        return new XdsStream<>(type -> new DeltaSubscription(type, noncePrefix));
    }

    /** Applies a request for a type, which holds subscriptions, an acknowledgement, or both. */
    public void onRequest(ResourceType type, RequestT request) {
        subscriptions.computeIfAbsent(type, subscriptionFactory).onRequest(request);
    }

    /** Returns the responses that are due, in the order of sending. A second call without changes returns none. */
    public List<ResponseT> nextResponses(ConfigSnapshot snapshot, double nowMs) {
        List<ResponseT> responses = new ArrayList<>();
        ConfigSnapshot withRetained = withRetainedClusters(snapshot, nowMs);
        addNext(ResourceType.CLUSTER, withRetained, nowMs, responses);
        addNext(ResourceType.ENDPOINTS, snapshot, nowMs, responses);
        if (!delaysRoutes(nowMs)) {
            addNext(ResourceType.LISTENER, snapshot, nowMs, responses);
            addNext(ResourceType.ROUTES, snapshot, nowMs, responses);
        }
        if (withRetained != snapshot && !mustRetainClusters(snapshot, nowMs)) {
            retained = snapshot;
            clustersRetainedSinceMs = Double.NaN;
            if (subscriptions.containsKey(ResourceType.CLUSTER)) {
                subscriptions.get(ResourceType.CLUSTER).compareAll();
            }
            addNext(ResourceType.CLUSTER, snapshot, nowMs, responses);
        }
        return responses;
    }

    private void addNext(ResourceType type, ConfigSnapshot snapshot, double nowMs, List<ResponseT> responses) {
        ResourceSubscription<RequestT, ResponseT> subscription = subscriptions.get(type);
        ResponseT response = subscription == null ? null : subscription.nextResponse(snapshot, nowMs);
        if (response != null) {
            responses.add(response);
        }
    }

    /**
     * Returns the snapshot plus removed clusters, for as long as the client's listeners or routes may refer to them.
     */
    private ConfigSnapshot withRetainedClusters(ConfigSnapshot snapshot, double nowMs) {
        ConfigSnapshot shown = snapshot == retained ? snapshot : snapshot.withRetained(retained, ResourceType.CLUSTER);
        if (shown != snapshot && Double.isNaN(clustersRetainedSinceMs)) {
            clustersRetainedSinceMs = nowMs;
            shown = mustRetainClusters(snapshot, nowMs) ? shown : snapshot;
        }
        if (shown == snapshot) {
            retained = snapshot;
            clustersRetainedSinceMs = Double.NaN;
        }
        return shown;
    }

    private boolean mustRetainClusters(ConfigSnapshot snapshot, double nowMs) {
        double retainedMs = nowMs - clustersRetainedSinceMs;
        boolean upToDate = isUpToDate(ResourceType.LISTENER, snapshot) && isUpToDate(ResourceType.ROUTES, snapshot);
        return rejectsRoutes() ? retainedMs < REJECTED_ROUTES_RETENTION_MS : !upToDate && retainedMs < ACK_TIMEOUT_MS;
    }

    private boolean rejectsRoutes() {
        return isRejecting(ResourceType.LISTENER) || isRejecting(ResourceType.ROUTES);
    }

    private boolean isRejecting(ResourceType type) {
        return subscriptions.containsKey(type) && subscriptions.get(type).isRejecting();
    }

    private boolean isUpToDate(ResourceType type, ConfigSnapshot snapshot) {
        return !subscriptions.containsKey(type) || subscriptions.get(type).isUpToDate(snapshot);
    }

    private boolean awaitsAckOfNewNames(ResourceType type) {
        return subscriptions.containsKey(type) && subscriptions.get(type).awaitsAckOfNewNames();
    }

    private boolean delaysRoutes(double nowMs) {
        // A client that does not subscribe to clusters on this stream has them from another source, so nothing is
        // delayed.
        if (!subscriptions.containsKey(ResourceType.CLUSTER)
                || !awaitsAckOfNewNames(ResourceType.CLUSTER) && !awaitsAckOfNewNames(ResourceType.ENDPOINTS)) {
            routesDelayedSinceMs = Double.NaN;
            return false;
        }
        if (Double.isNaN(routesDelayedSinceMs)) {
            routesDelayedSinceMs = nowMs;
        }
        return nowMs - routesDelayedSinceMs < ACK_TIMEOUT_MS;
    }

    /** Returns responses that renew the lifetimes of the resources that have one. */
    public List<ResponseT> nextRenewals(ConfigSnapshot snapshot, double nowMs) {
        List<ResponseT> renewals = new ArrayList<>();
        subscriptions.values().forEach(subscription -> {
            ResponseT renewal = subscription.nextRenewal(snapshot, nowMs);
            if (renewal != null) {
                renewals.add(renewal);
            }
        });
        return renewals;
    }

    /**
     * Returns when to call {@link #nextResponses} again if no request arrives and no snapshot changes until then, ms;
     * positive infinity if no such call is needed.
     */
    public double nextCheckAtMs() {
        double delayedUntilMs =
                Double.isNaN(routesDelayedSinceMs) ? Double.POSITIVE_INFINITY : routesDelayedSinceMs + ACK_TIMEOUT_MS;
        double retainedUntilMs = Double.isNaN(clustersRetainedSinceMs)
                ? Double.POSITIVE_INFINITY
                : clustersRetainedSinceMs + (rejectsRoutes() ? REJECTED_ROUTES_RETENTION_MS : ACK_TIMEOUT_MS);
        return Math.min(delayedUntilMs, retainedUntilMs);
    }

    /**
     * Returns the sent and acknowledged state of a type on this stream, or null if the client never requested the type.
     */
    public ClientVersions clientVersions(ResourceType type, double nowMs) {
        ResourceSubscription<RequestT, ResponseT> subscription = subscriptions.get(type);
        return subscription == null ? null : subscription.clientVersions(nowMs);
    }
}
