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
 * The protocol state of one stream over all its types. Free of I/O and of threads: requests go in, the responses that are due
 * come out, in the order in which the client can use them. Nothing is queued here; what is due is the latest state.
 *
 * <p>Make before break (xDS protocol, "Eventual consistency considerations"): clusters and endpoints go first, listeners and
 * routes after the client has acknowledged clusters that are new to it, and clusters that nothing names any more are removed
 * once it has accepted listeners and routes. A client that does not acknowledge is not waited for beyond {@link #ACK_TIMEOUT_MS};
 * one that rejects its routes keeps the clusters of those it has for {@link #REJECTED_ROUTES_HOLD_MS}. Endpoints are never held
 * back: whoever makes snapshots leaves the endpoints of a removed cluster in them for as long, and up to date, drains included.
 *
 * <p>Times are milliseconds of one monotonic clock. Owned by the thread that calls it.
 *
 * @param <RequestT> requests of this variant of the protocol
 * @param <ResponseT> responses of this variant
 */
public final class XdsStream<RequestT, ResponseT> {
    /** How long another type's acknowledgement is waited for. */
    static final double ACK_TIMEOUT_MS = 1000;

    /** How long a removed cluster is retained for a client that rejects the routes without it. */
    static final double REJECTED_ROUTES_HOLD_MS = 60_000;

    private final Map<ResourceType, ResourceSubscription<RequestT, ResponseT>> subscriptions =
            new EnumMap<>(ResourceType.class);
    private final Function<ResourceType, ResourceSubscription<RequestT, ResponseT>> subscriptionFactory;
    /** The last snapshot all of whose clusters the client still has. */
    private ConfigSnapshot retained = ConfigSnapshot.EMPTY;

    /** NaN while listeners and routes are not held back. */
    private double routesHeldSinceMs = Double.NaN;
    /** NaN while no removed cluster is retained. */
    private double clustersRetainedSinceMs = Double.NaN;

    private XdsStream(Function<ResourceType, ResourceSubscription<RequestT, ResponseT>> subscriptionFactory) {
        this.subscriptionFactory = subscriptionFactory;
    }

    /**
     * Opens a state-of-the-world stream.
     *
     * @param noncePrefix begins its nonces; no other stream has it
     * @param enveloped whether the client takes resources in an envelope that carries their lifetime
     */
    public static XdsStream<DiscoveryRequest, DiscoveryResponse> sotw(String noncePrefix, boolean enveloped) {
        return new XdsStream<>(type -> new SotwSubscription(type, noncePrefix, enveloped));
    }

    /**
     * Opens an incremental stream.
     *
     * @param noncePrefix begins its nonces; no other stream has it
     */
    public static XdsStream<DeltaDiscoveryRequest, DeltaDiscoveryResponse> delta(String noncePrefix) {
        return new XdsStream<>(type -> new DeltaSubscription(type, noncePrefix));
    }

    /** Applies a request for a type: subscriptions, or an acknowledgement, or both. */
    public void onRequest(ResourceType type, RequestT request) {
        subscriptions.computeIfAbsent(type, subscriptionFactory).onRequest(request);
    }

    /** The responses to send by now, in order. Calling it again with nothing new returns none. */
    public List<ResponseT> nextResponses(ConfigSnapshot snapshot, double nowMs) {
        List<ResponseT> responses = new ArrayList<>();
        ConfigSnapshot withRetained = withRetainedClusters(snapshot, nowMs);
        addNext(ResourceType.CLUSTER, withRetained, nowMs, responses);
        addNext(ResourceType.ENDPOINTS, snapshot, nowMs, responses);
        if (!holdsRoutes(nowMs)) {
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

    /** The snapshot with the clusters it no longer has, as long as the client's listeners or routes may name them. */
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
        return rejectsRoutes() ? retainedMs < REJECTED_ROUTES_HOLD_MS : !upToDate && retainedMs < ACK_TIMEOUT_MS;
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

    private boolean holdsRoutes(double nowMs) {
        // Without clusters on this stream its client has them from elsewhere, and nothing is held back.
        if (!subscriptions.containsKey(ResourceType.CLUSTER)
                || !awaitsAckOfNewNames(ResourceType.CLUSTER) && !awaitsAckOfNewNames(ResourceType.ENDPOINTS)) {
            routesHeldSinceMs = Double.NaN;
            return false;
        }
        if (Double.isNaN(routesHeldSinceMs)) {
            routesHeldSinceMs = nowMs;
        }
        return nowMs - routesHeldSinceMs < ACK_TIMEOUT_MS;
    }

    /** Renews the lifetimes of the resources that have one. */
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
     * When {@link #nextResponses} is to be called again although no request came and nothing changed; positive infinity: not
     * before either happens.
     */
    public double nextCheckAtMs() {
        double held = Double.isNaN(routesHeldSinceMs) ? Double.POSITIVE_INFINITY : routesHeldSinceMs + ACK_TIMEOUT_MS;
        double retainedUntil = Double.isNaN(clustersRetainedSinceMs)
                ? Double.POSITIVE_INFINITY
                : clustersRetainedSinceMs + (rejectsRoutes() ? REJECTED_ROUTES_HOLD_MS : ACK_TIMEOUT_MS);
        return Math.min(held, retainedUntil);
    }

    /** What the client has of a type on this stream, or null if it never requested it. */
    public ClientVersions clientVersions(ResourceType type, double nowMs) {
        ResourceSubscription<RequestT, ResponseT> subscription = subscriptions.get(type);
        return subscription == null ? null : subscription.clientVersions(nowMs);
    }
}
