package opalcove.control.server;

import com.google.protobuf.Duration;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamEndpointStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamLocalityStats;
import io.envoyproxy.envoy.service.load_stats.v3.LoadReportingServiceGrpc;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsRequest;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsResponse;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.List;
import org.tinylog.Logger;

/**
 * Takes in what proxies report of the load they sent (LRS, load_stats/v3). Each is asked to report its clusters once an
 * interval, endpoint by endpoint; a client that can only tell sums by room tells nothing of single nodes.
 */
final class LoadReportService extends LoadReportingServiceGrpc.LoadReportingServiceImplBase {
    /** How often a proxy reports, ms: a drain is confirmed by the reports after it. */
    static final long INTERVAL_MS = 500;

    /** Takes in what one proxy reports of one endpoint since its last report. Called on the desk. */
    interface Uses {
        void told(ProxyIdentity proxy, String address, long issued, long served, long failed, long inProgress);
    }

    private final SerialExecutor desk;
    private final SnapshotSource views;
    private final List<String> clusters;
    private final Uses uses;

    LoadReportService(SerialExecutor desk, SnapshotSource views, List<String> clusters, Uses uses) {
        this.desk = desk;
        this.views = views;
        this.clusters = List.copyOf(clusters);
        this.uses = uses;
    }

    @Override
    public StreamObserver<LoadStatsRequest> streamLoadStats(StreamObserver<LoadStatsResponse> out) {
        return new Reports((ServerCallStreamObserver<LoadStatsResponse>) out);
    }

    /** One proxy's stream. */
    private final class Reports implements StreamObserver<LoadStatsRequest> {
        private final ServerCallStreamObserver<LoadStatsResponse> out;
        private ProxyIdentity proxy;
        private boolean ended;

        Reports(ServerCallStreamObserver<LoadStatsResponse> out) {
            this.out = out;
            out.setOnCancelHandler(() -> desk.execute(() -> ended = true));
        }

        @Override
        public void onNext(LoadStatsRequest request) {
            desk.execute(() -> report(request));
        }

        private void report(LoadStatsRequest request) {
            if (ended) {
                return;
            }
            if (proxy == null) {
                proxy = ProxyIdentity.of(request.getNode());
                if (views.of(proxy) == null) {
                    Logger.warn("reports of proxy {} are refused: it is not admitted", proxy.id());
                    ended = true;
                    out.onError(Status.PERMISSION_DENIED
                            .withDescription("proxy " + proxy.id() + " is not admitted")
                            .asRuntimeException());
                    return;
                }
                out.onNext(LoadStatsResponse.newBuilder()
                        .addAllClusters(clusters)
                        .setReportEndpointGranularity(true)
                        .setLoadReportingInterval(Duration.newBuilder()
                                .setSeconds(INTERVAL_MS / 1000)
                                .setNanos((int) (INTERVAL_MS % 1000) * 1_000_000))
                        .build());
            }
            for (ClusterStats cluster : request.getClusterStatsList()) {
                for (UpstreamLocalityStats room : cluster.getUpstreamLocalityStatsList()) {
                    room.getUpstreamEndpointStatsList().forEach(this::endpoint);
                }
            }
        }

        private void endpoint(UpstreamEndpointStats stats) {
            SocketAddress address = stats.getAddress().getSocketAddress();
            uses.told(
                    proxy,
                    address.getAddress() + ":" + address.getPortValue(),
                    stats.getTotalIssuedRequests(),
                    stats.getTotalSuccessfulRequests(),
                    stats.getTotalErrorRequests(),
                    stats.getTotalRequestsInProgress());
        }

        @Override
        public void onError(Throwable cause) {
            desk.execute(() -> ended = true);
        }

        @Override
        public void onCompleted() {
            desk.execute(() -> {
                if (!ended) {
                    ended = true;
                    out.onCompleted();
                }
            });
        }
    }
}
