package opalcove.control.server;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** The gRPC server that proxies connect to. */
final class ControlServer implements AutoCloseable {
    /** A request holds names and versions of resources; 2,000 of them take about 100 KB. */
    private static final int MAX_REQUEST_BYTES = 4 * 1024 * 1024;
    /** Idle time after which a peer is pinged, so that a half-open stream ends. */
    private static final long KEEPALIVE_SECONDS = 10;

    private static final long KEEPALIVE_TIMEOUT_SECONDS = 5;
    /** Enough for the aggregated stream and the per-type streams in both variants, and for load reports. */
    private static final int MAX_STREAMS_PER_CONNECTION = 32;

    private static final long TERMINATION_TIMEOUT_SECONDS = 5;

    private final Server server;

    /**
     * Opens the server.
     *
     * @param otherServices services in addition to those of the session registry
     * @throws IOException if the address cannot be bound
     */
    ControlServer(InetSocketAddress address, SessionRegistry sessions, BindableService... otherServices)
            throws IOException {
        NettyServerBuilder builder = NettyServerBuilder.forAddress(address)
                .maxInboundMessageSize(MAX_REQUEST_BYTES)
                .maxConcurrentCallsPerConnection(MAX_STREAMS_PER_CONNECTION)
                .keepAliveTime(KEEPALIVE_SECONDS, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEPALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .permitKeepAliveTime(KEEPALIVE_SECONDS, TimeUnit.SECONDS)
                .permitKeepAliveWithoutCalls(true)
                .directExecutor(); // callbacks only submit tasks to the serial executor
        sessions.services().forEach(builder::addService);
        for (BindableService each : otherServices) {
            builder.addService(each);
        }
        server = builder.build().start();
    }

    /** Returns the port that the server listens on. */
    int port() {
        return server.getPort();
    }

    /** Ends all streams; proxies continue with their present configuration and connect to another instance. */
    @Override
    public void close() {
        server.shutdownNow();
        try {
            server.awaitTermination(TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
