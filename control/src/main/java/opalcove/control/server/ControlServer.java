package opalcove.control.server;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** The gRPC server on which proxies reach the control service. */
public final class ControlServer implements AutoCloseable {
    /** A request names resources and versions: 2,000 of them are some 100 KB. */
    private static final int MOST_REQUEST = 4 * 1024 * 1024;
    /** A peer that is silent for so long is asked for a sign of life, so a half-open stream ends. */
    private static final long KEEPALIVE_SECONDS = 10;

    private static final long KEEPALIVE_TIMEOUT_SECONDS = 5;
    /** The aggregated stream and the single ones in both variants, and load reports. */
    private static final int MOST_STREAMS = 32;

    private final Server server;

    /** Opens the server, with other services beside. */
    public ControlServer(InetSocketAddress at, SessionRegistry sessions, BindableService... others) throws IOException {
        NettyServerBuilder builder = NettyServerBuilder.forAddress(at)
                .maxInboundMessageSize(MOST_REQUEST)
                .maxConcurrentCallsPerConnection(MOST_STREAMS)
                .keepAliveTime(KEEPALIVE_SECONDS, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEPALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .permitKeepAliveTime(KEEPALIVE_SECONDS, TimeUnit.SECONDS)
                .permitKeepAliveWithoutCalls(true)
                .directExecutor(); // what arrives is handed to the desk at once
        sessions.services().forEach(builder::addService);
        for (BindableService each : others) {
            builder.addService(each);
        }
        server = builder.build().start();
    }

    /** The port that the server listens on. */
    public int port() {
        return server.getPort();
    }

    /** Ends all streams; proxies keep what they have and turn to another instance. */
    @Override
    public void close() {
        server.shutdownNow();
        try {
            server.awaitTermination(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
