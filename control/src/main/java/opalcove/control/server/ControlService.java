package opalcove.control.server;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
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
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.control.cluster.ClusterState;
import opalcove.control.cluster.DrainTracker;
import opalcove.control.xds.ClientVersions;
import opalcove.control.xds.Resource;
import opalcove.control.xds.ResourceFactory;
import opalcove.control.xds.ResourceType;
import org.tinylog.Logger;

/** The control service by its settings: node list in, proxies told, state on request. */
public final class ControlService implements AutoCloseable {
    private static final long STATUS_SECONDS = 5;
    /** Lifetimes are renewed so often in the shortest of them: two renewals may be late or lost. */
    private static final long RENEWALS = 3;

    private final SerialExecutor desk = new SerialExecutor();
    private final Clock clock = new Clock();
    private final ControlConfig config;
    private final ClusterState fleet;
    private final SessionRegistry sessions;
    private final ControlServer server;
    private final HttpServer status;
    private final EndpointFile nodes;
    private ScheduledFuture<?> alarm;
    private String sourceProblem = "";

    /** Opens the service; it fails where an address is taken. A node list that cannot be read yet is waited for. */
    public ControlService(ControlConfig config) throws IOException {
        this.config = config;
        List<Resource> routing = new ArrayList<>();
        for (ControlConfig.Listener each : config.listeners()) {
            routing.add(ResourceFactory.apiListener(each.name(), each.name()));
            routing.add(ResourceFactory.routes(each.name(), each.cluster()));
        }
        fleet = new ClusterState(
                clock.now(), config.settings(), System.nanoTime(), config.mostShrink(), config.clusters(), routing);
        sessions = new SessionRegistry(
                desk,
                proxy -> config.admit().isEmpty() || config.admit().contains(proxy.cluster())
                        ? fleet.view(proxy.room())
                        : null);
        server = new ControlServer(
                new InetSocketAddress(config.listen().address(), config.listen().port()),
                sessions,
                new LoadReportService(
                        desk,
                        sessions.views(),
                        config.clusters().stream()
                                .map(ClusterState.Cluster::name)
                                .toList(),
                        (proxy, address, issued, served, failed, inProgress) ->
                                fleet.reported(clock.now(), proxy.id(), address, issued, served, failed, inProgress)));
        status = HttpServer.create(
                new InetSocketAddress(config.status().address(), config.status().port()), 0);
        status.createContext("/v1/status", exchange -> {
            byte[] text = status().toString().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, text.length);
            exchange.getResponseBody().write(text);
            exchange.close();
        });
        status.start();
        nodes = new EndpointFile(
                config.nodes(),
                (override, list) -> desk.execute(() -> told(override, list)),
                problem -> desk.execute(() -> failed(problem)));
        desk.execute(this::wake);
        config.clusters().stream()
                .mapToLong(ClusterState.Cluster::leaseMs)
                .filter(lease -> lease > 0)
                .min()
                .ifPresent(lease -> desk.execute(() -> renew(lease / RENEWALS)));
        Logger.info("control service {} on port {}", config.name(), port());
    }

    /** The port of the xDS server. */
    public int port() {
        return server.port();
    }

    /** The port of the HTTP status page. */
    public int statusPort() {
        return status.getAddress().getPort();
    }

    private void told(boolean override, List<Backend> list) {
        sourceProblem = "";
        fleet.told(clock.now(), true, override, list);
        if (!fleet.missing().isEmpty()) {
            Logger.warn(
                    "the node list lacks {} of {} nodes at once; they are kept until it has them again or says override",
                    fleet.missing().size(),
                    fleet.nodes().size());
        }
        sessions.changed();
        wake();
    }

    private void failed(String problem) {
        Logger.warn("the node list cannot be read, what is known stays: {}", problem);
        sourceProblem = problem;
        fleet.sourceFailed(clock.now());
    }

    /** The module's alarms that are due, and those to come. */
    private void wake() {
        if (fleet.advance(clock.now())) {
            sessions.changed();
        }
        if (alarm != null) {
            alarm.cancel(false);
        }
        alarm = desk.in(fleet.nextAlarm() - clock.now(), this::wake);
    }

    private void renew(long everyMs) {
        sessions.renew();
        desk.in(everyMs, () -> renew(everyMs));
    }

    /** Its state, taken on the desk. */
    public JsonObject status() throws IOException {
        CompletableFuture<JsonObject> taken = new CompletableFuture<>();
        desk.execute(() -> taken.complete(state()));
        try {
            return taken.get(STATUS_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("no state was told in time", e);
        }
    }

    private JsonObject state() {
        List<SessionRegistry.Known> known = sessions.known();
        JsonArray proxies = new JsonArray();
        for (SessionRegistry.Known each : known) {
            JsonObject types = new JsonObject();
            each.types()
                    .forEach((type, knows) -> types.add(
                            type.name().toLowerCase(java.util.Locale.ROOT),
                            Json.object()
                                    .add(
                                            "behind",
                                            fleet.view(each.proxy().room()).serial() - knows.acknowledged())
                                    .add("waiting_ms", Math.round(knows.waitingMs()))
                                    .add("taken", knows.taken())
                                    .add("refused", knows.refused())
                                    .add("reason", knows.reason())));
            proxies.add(Json.object()
                    .add("id", each.proxy().id())
                    .add("cluster", each.proxy().cluster())
                    .add("room", each.proxy().room())
                    .add("types", types));
        }
        JsonArray drains = new JsonArray();
        for (DrainTracker.Drain drain : fleet.drains()) {
            JsonArray waiting = new JsonArray();
            known.stream()
                    .filter(each -> !knows(each, drain))
                    .forEach(each -> waiting.add(each.proxy().id()));
            drains.add(Json.object()
                    .add("node", drain.node())
                    .add("since_ms", Math.round(clock.now() - drain.sinceMs()))
                    .add("not_acknowledged_by", waiting)
                    .add("used_by", users(drain)));
        }
        JsonArray missing = new JsonArray();
        fleet.missing().stream().sorted().forEach(missing::add);
        return Json.object()
                .add("name", config.name())
                .add("nodes", fleet.nodes().size())
                .add("missing", missing)
                .add("source_problem", sourceProblem)
                .add("proxies", proxies)
                .add("drains", drains);
    }

    /** Who told of new work at a draining node since its drain, when that was last, and what is in hand there. */
    private JsonArray users(DrainTracker.Drain drain) {
        JsonArray users = new JsonArray();
        drain.uses().forEach((proxy, use) -> {
            boolean sent = Double.isFinite(use.lastIssuedMs());
            if (sent || use.inProgress() > 0) {
                users.add(Json.object()
                        .add("proxy", proxy)
                        .add("in_hand", use.inProgress())
                        .add("last_new_ms", sent ? Math.round(use.lastIssuedMs() - drain.sinceMs()) : -1));
            }
        });
        return users;
    }

    private boolean knows(SessionRegistry.Known proxy, DrainTracker.Drain drain) {
        ClientVersions knows = proxy.types().get(ResourceType.ENDPOINTS);
        return knows == null
                || knows.acknowledged()
                        >= drain.serial(fleet.viewOf(proxy.proxy().room()));
    }

    @Override
    public void close() throws IOException {
        nodes.close();
        status.stop(0);
        server.close();
        desk.close();
    }
}
