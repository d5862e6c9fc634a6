package opalcove.control.server;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.List;
import opalcove.control.cluster.ClusterState;
import opalcove.control.cluster.DrainTracker;
import opalcove.control.xds.ClientVersions;
import opalcove.control.xds.ResourceType;

/**
 * The status of the service as JSON.
 *
 * @param name the service's name
 * @param nowMs current time on the clock of the cluster state, ms
 * @param cluster the state that proxies see
 * @param sourceProblem why the last read of the endpoint list failed; empty if it succeeded
 * @param proxies the proxies on open streams
 */
record StatusReport(
        String name, double nowMs, ClusterState cluster, String sourceProblem, List<ConnectedProxy> proxies) {
    /** Value of last_new_ms if no new requests were reported since the drain began. */
    private static final long NEVER = -1;

    JsonObject toJson() {
        JsonArray missing = new JsonArray();
        cluster.missingBackendNames().stream().sorted().forEach(missing::add);
        JsonArray proxyList = new JsonArray();
        proxies.forEach(each -> proxyList.add(proxy(each)));
        JsonArray drains = new JsonArray();
        cluster.drains().forEach(each -> drains.add(drain(each)));
        return Json.object()
                .add("name", name)
                .add("nodes", cluster.backendNames().size())
                .add("missing", missing)
                .add("source_problem", sourceProblem)
                .add("proxies", proxyList)
                .add("drains", drains);
    }

    private JsonObject proxy(ConnectedProxy proxy) {
        long revision = cluster.snapshot(proxy.identity().zone()).revision();
        JsonObject types = new JsonObject();
        proxy.versions()
                .forEach((type, versions) -> types.add(
                        type.key(),
                        Json.object()
                                .add("behind", revision - versions.acknowledgedRevision())
                                .add("waiting_ms", Math.round(versions.oldestPendingMs()))
                                .add("taken", versions.acceptedCount())
                                .add("refused", versions.rejectedCount())
                                .add("reason", versions.rejectionReason())));
        return Json.object()
                .add("id", proxy.identity().proxyId())
                .add("cluster", proxy.identity().cluster())
                .add("room", proxy.identity().zone())
                .add("types", types);
    }

    private JsonObject drain(DrainTracker.Drain drain) {
        JsonArray notAcknowledgedBy = new JsonArray();
        proxies.stream()
                .filter(each -> !hasAcknowledged(each, drain))
                .forEach(each -> notAcknowledgedBy.add(each.identity().proxyId()));
        return Json.object()
                .add("node", drain.backend())
                .add("since_ms", Math.round(nowMs - drain.sinceMs()))
                .add("not_acknowledged_by", notAcknowledgedBy)
                .add("used_by", uses(drain));
    }

    /**
     * Lists the proxies that sent new requests to a draining backend since the drain began or have requests in flight
     * there.
     */
    private static JsonArray uses(DrainTracker.Drain drain) {
        JsonArray uses = new JsonArray();
        drain.uses().forEach((proxyId, use) -> {
            boolean sentNewRequests = Double.isFinite(use.lastIssuedMs());
            if (sentNewRequests || use.inProgress() > 0) {
                uses.add(Json.object()
                        .add("proxy", proxyId)
                        .add("in_hand", use.inProgress())
                        .add(
                                "last_new_ms",
                                sentNewRequests ? Math.round(use.lastIssuedMs() - drain.sinceMs()) : NEVER));
            }
        });
        return uses;
    }

    private boolean hasAcknowledged(ConnectedProxy proxy, DrainTracker.Drain drain) {
        ClientVersions versions = proxy.versions().get(ResourceType.ENDPOINTS);
        String zone = cluster.snapshotZone(proxy.identity().zone());
        return versions == null || versions.acknowledgedRevision() >= drain.requiredRevision(zone);
    }
}
