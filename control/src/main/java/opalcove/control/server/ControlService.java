package opalcove.control.server;

import com.eclipsesource.json.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import opalcove.config.Clock;
import opalcove.config.HostAndPort;
import opalcove.control.cluster.ClusterDefinition;
import opalcove.control.cluster.ClusterState;
import opalcove.control.cluster.EndpointUpdate;
import opalcove.control.xds.ConfigSnapshot;
import opalcove.control.xds.Resource;
import opalcove.control.xds.ResourceFactory;
import org.tinylog.Logger;

/**
 * The control service: reads the endpoint list, sends changes to proxies, and serves its status over HTTP.
 *
 * <p>Its state is owned by the thread of its {@link SerialExecutor}; the public methods may be called from any thread.
 */
public final class ControlService implements AutoCloseable {
    private static final long STATUS_TIMEOUT_SECONDS = 5;
    /** Number of renewals per shortest lifetime; with three, two consecutive renewals may be late or lost. */
    private static final long RENEWALS_PER_LEASE = 3;

    private final SerialExecutor executor = new SerialExecutor();
    private final Clock clock = new Clock();
    private final ControlConfig config;
    private final ClusterState cluster;
    private final SessionRegistry sessions;
    private final ControlServer server;
    private final HttpServer statusServer;
    private final EndpointFile endpointFile;
    private ScheduledFuture<?> nextTimer;
    private String sourceProblem = "";

    /**
     * Opens the service. If the endpoint list cannot be read yet, the service waits for it.
     *
     * @throws IOException if an address is in use, or the folder of the endpoint list cannot be watched
     */
    public ControlService(ControlConfig config) throws IOException {
        this.config = config;
        cluster = new ClusterState(
                clock.now(),
                config.settings(),
                System.nanoTime(),
                config.maxShrink(),
                config.clusters(),
                routing(config.listeners()));
        sessions = new SessionRegistry(executor, this::snapshotFor);
        server = new ControlServer(socketAddress(config.listen()), sessions, loadReportService());
        statusServer = HttpServer.create(socketAddress(config.status()), 0);
        statusServer.createContext("/v1/status", this::sendStatus);
        statusServer.start();
        endpointFile = new EndpointFile(config.endpointFile(), new EndpointFile.Listener() {
            @Override
            public void onEndpoints(EndpointUpdate update) {
                executor.execute(() -> apply(update));
            }

            @Override
            public void onFailure(String problem) {
                executor.execute(() -> onSourceFailure(problem));
            }
        });
        executor.execute(this::runTimers);
        config.clusters().stream()
                .mapToLong(ClusterDefinition::leaseMs)
                .filter(leaseMs -> leaseMs > 0)
                .min()
                .ifPresent(leaseMs -> executor.execute(() -> renewAll(leaseMs / RENEWALS_PER_LEASE)));
        Logger.info("control service {} listening on port {}", config.name(), port());
    }

    private static List<Resource> routing(List<ControlConfig.Listener> listeners) {
        List<Resource> routing = new ArrayList<>();
        for (ControlConfig.Listener each : listeners) {
            routing.add(ResourceFactory.apiListener(each.name(), each.name()));
            routing.add(ResourceFactory.routes(each.name(), each.cluster()));
        }
        return routing;
    }

    private ConfigSnapshot snapshotFor(ProxyIdentity proxy) {
        boolean admitted =
                config.admittedClusters().isEmpty() || config.admittedClusters().contains(proxy.cluster());
        return admitted ? cluster.snapshot(proxy.zone()) : null;
    }

    private LoadReportService loadReportService() {
        return new LoadReportService(
                executor,
                this::snapshotFor,
                config.clusters().stream().map(ClusterDefinition::name).toList(),
                (proxy, load) -> cluster.onLoadReport(clock.now(), proxy.proxyId(), load));
    }

    private static InetSocketAddress socketAddress(HostAndPort address) {
        return new InetSocketAddress(address.address(), address.port());
    }

    /** Returns the port of the xDS server. */
    public int port() {
        return server.port();
    }

    /** Returns the port of the HTTP status page. */
    public int statusPort() {
        return statusServer.getAddress().getPort();
    }

    private void apply(EndpointUpdate update) {
        sourceProblem = "";
        cluster.onEndpoints(clock.now(), update);
        if (!cluster.missingBackendNames().isEmpty()) {
            Logger.warn(
                    "the endpoint list lacks {} of {} backends; they stay until a list contains them or overrides the limit",
                    cluster.missingBackendNames().size(),
                    cluster.backendNames().size());
        }
        sessions.pushAll();
        runTimers();
    }

    private void onSourceFailure(String problem) {
        Logger.warn("the endpoint list cannot be read, the last known list stays in force: {}", problem);
        sourceProblem = problem;
        cluster.onSourceFailed(clock.now());
    }

    /** Runs the due timers of the decision module and schedules the next. */
    private void runTimers() {
        if (cluster.advance(clock.now())) {
            sessions.pushAll();
        }
        if (nextTimer != null) {
            nextTimer.cancel(false);
        }
        nextTimer = executor.schedule(cluster.nextTimerMs() - clock.now(), this::runTimers);
    }

    private void renewAll(long intervalMs) {
        sessions.renewAll();
        executor.schedule(intervalMs, () -> renewAll(intervalMs));
    }

    private void sendStatus(HttpExchange exchange) throws IOException {
        byte[] body = status().toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    /**
     * Returns the status in the JSON form that docs/control.md describes.
     *
     * @throws IOException if the service does not respond in time
     */
    public JsonObject status() throws IOException {
        CompletableFuture<JsonObject> status = new CompletableFuture<>();
        executor.execute(() -> status.complete(
                new StatusReport(config.name(), clock.now(), cluster, sourceProblem, sessions.connectedProxies())
                        .toJson()));
        try {
            return status.get(STATUS_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(
                    "the control service did not report its status within " + STATUS_TIMEOUT_SECONDS + " s", e);
        }
    }

    @Override
    public void close() throws IOException {
        endpointFile.close();
        statusServer.stop(0);
        server.close();
        executor.close();
    }
}
