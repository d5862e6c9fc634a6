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
 * What one stream of a proxy is to be told, over all its types. Free of I/O and of threads: requests go in, what is due comes
 * out, in the order in which the proxy can use it. Nothing is queued here; what is due is the latest state.
 *
 * <p>Make before break (xDS protocol, "Eventual consistency considerations"): clusters and endpoints go first, listeners
 * and routes after the proxy has answered for clusters that are new to it, and clusters that nothing names any more are taken away
 * once it has taken listeners and routes. A proxy that does not answer is not waited for beyond {@link #PATIENCE_MS}, one
 * that refuses its routes keeps the clusters of those it has for {@link #KEPT_MS}. Endpoints are never kept back: whoever
 * makes views leaves those of a cluster that is gone in them for as long, and up to date, drains among them.
 */
public final class XdsStream<Q, R> {
    /** How long another type's answer is waited for, ms. */
    static final double PATIENCE_MS = 1000;

    /** How long a cluster that is gone is kept for a proxy that refuses the routes without it, ms. */
    static final double KEPT_MS = 60_000;

    private final Map<ResourceType, ResourceSubscription<Q, R>> feeds = new EnumMap<>(ResourceType.class);
    private final Function<ResourceType, ResourceSubscription<Q, R>> made;
    /** The last view all of whose clusters the proxy still has. */
    private ConfigSnapshot kept = ConfigSnapshot.EMPTY;

    private double holdingSince = Double.NaN;
    private double keepingSince = Double.NaN;

    private XdsStream(Function<ResourceType, ResourceSubscription<Q, R>> made) {
        this.made = made;
    }

    /** A state-of-the-world stream; nonces begin with the prefix, which no other stream has. */
    public static XdsStream<DiscoveryRequest, DiscoveryResponse> sotw(String noncePrefix, boolean wrapped) {
        return new XdsStream<>(type -> new SotwSubscription(type, noncePrefix, wrapped));
    }

    /** An incremental stream; nonces begin with the prefix, which no other stream has. */
    public static XdsStream<DeltaDiscoveryRequest, DeltaDiscoveryResponse> delta(String noncePrefix) {
        return new XdsStream<>(type -> new DeltaSubscription(type, noncePrefix));
    }

    /** Takes in a request for a type: subscriptions, or an answer, or both. */
    public void request(ResourceType type, Q request) {
        feeds.computeIfAbsent(type, made).request(request);
    }

    /** What the proxy is to be told by now, in order. Calling it again with nothing new gives nothing. */
    public List<R> due(ConfigSnapshot view, double now) {
        List<R> due = new ArrayList<>();
        ConfigSnapshot shown = shown(view, now);
        tell(ResourceType.CLUSTER, shown, now, due);
        tell(ResourceType.ENDPOINTS, view, now, due);
        if (!holds(now)) {
            tell(ResourceType.LISTENER, view, now, due);
            tell(ResourceType.ROUTES, view, now, due);
        }
        if (shown != view && !keeps(view, now)) {
            kept = view;
            keepingSince = Double.NaN;
            if (feeds.containsKey(ResourceType.CLUSTER)) {
                feeds.get(ResourceType.CLUSTER).recheck();
            }
            tell(ResourceType.CLUSTER, view, now, due);
        }
        return due;
    }

    private void tell(ResourceType type, ConfigSnapshot view, double now, List<R> due) {
        ResourceSubscription<Q, R> feed = feeds.get(type);
        R response = feed == null ? null : feed.due(view, now);
        if (response != null) {
            due.add(response);
        }
    }

    /** The view with the clusters it no longer has, as long as the proxy's listeners or routes may name them. */
    private ConfigSnapshot shown(ConfigSnapshot view, double now) {
        ConfigSnapshot shown = view == kept ? view : view.keeping(kept, ResourceType.CLUSTER);
        if (shown != view && Double.isNaN(keepingSince)) {
            keepingSince = now;
            shown = keeps(view, now) ? shown : view;
        }
        if (shown == view) {
            kept = view;
            keepingSince = Double.NaN;
        }
        return shown;
    }

    private boolean keeps(ConfigSnapshot view, double now) {
        boolean settled = settled(ResourceType.LISTENER, view) && settled(ResourceType.ROUTES, view);
        boolean refusing = refusing(ResourceType.LISTENER) || refusing(ResourceType.ROUTES);
        return refusing ? now - keepingSince < KEPT_MS : !settled && now - keepingSince < PATIENCE_MS;
    }

    private boolean refusing(ResourceType type) {
        return feeds.containsKey(type) && feeds.get(type).refusing();
    }

    private boolean settled(ResourceType type, ConfigSnapshot view) {
        return !feeds.containsKey(type) || feeds.get(type).settled(view);
    }

    private boolean holds(double now) {
        ResourceSubscription<Q, R> clusters = feeds.get(ResourceType.CLUSTER);
        ResourceSubscription<Q, R> endpoints = feeds.get(ResourceType.ENDPOINTS);
        if (clusters == null || !clusters.awaitsNewNames() && (endpoints == null || !endpoints.awaitsNewNames())) {
            holdingSince = Double.NaN;
            return false;
        }
        if (Double.isNaN(holdingSince)) {
            holdingSince = now;
        }
        return now - holdingSince < PATIENCE_MS;
    }

    /** Renews the lifetimes of what has one. */
    public List<R> renewals(ConfigSnapshot view, double now) {
        List<R> renewals = new ArrayList<>();
        feeds.values().forEach(feed -> {
            R renewal = feed.renewal(view, now);
            if (renewal != null) {
                renewals.add(renewal);
            }
        });
        return renewals;
    }

    /** When to look again although nothing came and nothing changed, ms of the same clock; infinite: not at all. */
    public double lookAgainAt() {
        double hold = Double.isNaN(holdingSince) ? Double.POSITIVE_INFINITY : holdingSince + PATIENCE_MS;
        double keep = Double.isNaN(keepingSince)
                ? Double.POSITIVE_INFINITY
                : keepingSince
                        + (refusing(ResourceType.LISTENER) || refusing(ResourceType.ROUTES) ? KEPT_MS : PATIENCE_MS);
        return Math.min(hold, keep);
    }

    /** What the proxy knows of a type on this stream; null where it has not asked for it. */
    public ClientVersions knowledge(ResourceType type, double now) {
        ResourceSubscription<Q, R> feed = feeds.get(type);
        return feed == null ? null : feed.knowledge(now);
    }
}
