package opalcove.control.xds;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The resource types that are served, in the order in which they are sent, so that no resource refers to another that
 * the client does not have yet (xDS protocol, "Eventual consistency considerations": clusters, endpoints, listeners,
 * routes).
 */
public enum ResourceType {
    /** Clusters (CDS). */
    CLUSTER("cluster", "envoy.config.cluster.v3.Cluster", true),
    /** The endpoints of a cluster (EDS). */
    ENDPOINTS("endpoints", "envoy.config.endpoint.v3.ClusterLoadAssignment", false),
    /** Listeners (LDS). */
    LISTENER("listener", "envoy.config.listener.v3.Listener", true),
    /** Routes (RDS). */
    ROUTES("routes", "envoy.config.route.v3.RouteConfiguration", false);

    private static final Map<String, ResourceType> BY_URL =
            Stream.of(values()).collect(Collectors.toUnmodifiableMap(ResourceType::url, Function.identity()));
    private final String key;
    private final String url;
    private final boolean completeInSotw;

    ResourceType(String key, String message, boolean completeInSotw) {
        this.key = key;
        url = "type.googleapis.com/" + message;
        this.completeInSotw = completeInSotw;
    }

    /** Returns the key of the type in the status JSON. */
    public String key() {
        return key;
    }

    /** Returns the type URL as it appears in requests. */
    public String url() {
        return url;
    }

    /**
     * Whether a state-of-the-world response holds all subscribed resources, so that the client removes those it lacks.
     */
    boolean isCompleteInSotw() {
        return completeInSotw;
    }

    /** Returns the type with this URL, or null if it is not served. */
    public static ResourceType forUrl(String url) {
        return BY_URL.get(url);
    }
}
