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
import opalcove.control.cluster.EndpointLoad;
import org.tinylog.Logger;

/**
 * Receives the load reports of proxies (LRS, load_stats/v3). The service requests a report per endpoint of its clusters
 * at a fixed interval; a client that can only report sums per zone gives no load of individual backends.
 *
 * <p>Owned by the thread of its {@link SerialExecutor}; gRPC callbacks submit tasks to it.
 */
final class LoadReportService extends LoadReportingServiceGrpc.LoadReportingServiceImplBase {
    /** Interval between the reports of a proxy, ms; the reports after the start of a drain confirm it. */
    private static final long INTERVAL_MS = 500;

    /** Receives reports, on the thread of the service's executor. */
    interface Listener {
        /** Called for each endpoint in a report. */
        void onLoadReport(ProxyIdentity proxy, EndpointLoad load);
    }

    private final SerialExecutor executor;
    private final SnapshotSource snapshots;
    private final List<String> clusters;
    private final Listener listener;

    /**
     * Creates the service.
     *
     * @param snapshots determines which proxies are admitted
     * @param clusters the clusters whose load is to be reported
     */
    LoadReportService(SerialExecutor executor, SnapshotSource snapshots, List<String> clusters, Listener listener) {
        this.executor = executor;
        this.snapshots = snapshots;
        this.clusters = List.copyOf(clusters);
        this.listener = listener;
    }

    @Override
    public StreamObserver<LoadStatsRequest> streamLoadStats(StreamObserver<LoadStatsResponse> responses) {
        return new ReportStream((ServerCallStreamObserver<LoadStatsResponse>) responses);
    }

    /** The report stream of one proxy. */
    private final class ReportStream implements StreamObserver<LoadStatsRequest> {
        private final ServerCallStreamObserver<LoadStatsResponse> responses;
        private ProxyIdentity proxy;
        private boolean ended;

        ReportStream(ServerCallStreamObserver<LoadStatsResponse> responses) {
            this.responses = responses;
            responses.setOnCancelHandler(() -> executor.execute(() -> ended = true));
        }

        @Override
        public void onNext(LoadStatsRequest request) {
            executor.execute(() -> handle(request));
        }

        private void handle(LoadStatsRequest request) {
            if (ended) {
                return;
            }
            if (proxy == null) {
                proxy = ProxyIdentity.from(request.getNode());
                if (snapshots.snapshotFor(proxy) == null) {
                    Logger.warn("load reports of proxy {} rejected: it is not admitted", proxy.proxyId());
                    ended = true;
                    responses.onError(Status.PERMISSION_DENIED
                            .withDescription("proxy " + proxy.proxyId() + " is not admitted")
                            .asRuntimeException());
                    return;
                }
                responses.onNext(reportRequest());
            }
            for (ClusterStats cluster : request.getClusterStatsList()) {
                for (UpstreamLocalityStats locality : cluster.getUpstreamLocalityStatsList()) {
                    locality.getUpstreamEndpointStatsList().forEach(stats -> listener.onLoadReport(proxy, load(stats)));
                }
            }
        }

        @Override
        public void onError(Throwable cause) {
            executor.execute(() -> ended = true);
        }

        @Override
        public void onCompleted() {
            executor.execute(() -> {
                if (!ended) {
                    ended = true;
                    responses.onCompleted();
                }
            });
        }
    }

    private LoadStatsResponse reportRequest() {
        return LoadStatsResponse.newBuilder()
                .addAllClusters(clusters)
                .setReportEndpointGranularity(true)
                .setLoadReportingInterval(Duration.newBuilder()
                        .setSeconds(INTERVAL_MS / 1000)
                        .setNanos((int) (INTERVAL_MS % 1000) * 1_000_000))
                .build();
    }

    private static EndpointLoad load(UpstreamEndpointStats stats) {
        SocketAddress address = stats.getAddress().getSocketAddress();
        return new EndpointLoad(
                address.getAddress() + ":" + address.getPortValue(),
                stats.getTotalIssuedRequests(),
                stats.getTotalSuccessfulRequests(),
                stats.getTotalErrorRequests(),
                stats.getTotalRequestsInProgress());
    }
}
