package opalcove.server;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.ServiceLoader;
import java.util.SplittableRandom;
import opalcove.admin.AdminServer;
import opalcove.backend.ConnectionPool;
import opalcove.cluster.MembershipService;
import opalcove.config.Clock;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.ReplicatedConfig;
import opalcove.core.RequestDispatcher;
import opalcove.discovery.DiscoveryClient;
import opalcove.lifecycle.Application;
import opalcove.lifecycle.Lifecycle;
import opalcove.lifecycle.StartupTimes;
import opalcove.lifecycle.StartupTimes.StartPhase;
import opalcove.lifecycle.TimeBudget;
import opalcove.membership.Member;
import opalcove.resp.MemoryBudget;
import opalcove.resp.RespConnector;
import opalcove.resp.RespServer;
import opalcove.resp.WarmUp;
import org.tinylog.Logger;

/** Starts the gateway, which speaks RESP2 to clients and backends and gets the endpoint list from discovery. */
public final class GatewayServer {
    private GatewayServer() {}

    /**
     * Starts the gateway with the configuration that the environment names. It returns as soon as the warm-up is over;
     * the gateway runs on its own threads.
     *
     * @throws InvalidConfigurationException if the configuration cannot be used
     */
    public static void start() {
        StartupTimes times = new StartupTimes();
        // This must come first: without a handler SIGHUP would end the process.
        ReloadSignal reloadSignal = new ReloadSignal();
        GatewayConfig config = GatewayConfig.read(System.getenv());
        times.reached(StartPhase.CONFIGURATION_READ);
        // The admin server opens early, so that administrators can see the progress of the start.
        GatewayStatus status = new GatewayStatus();
        startAdminServer(config, status);
        ReplicatedConfig replicatedConfig = createReplicatedConfig(config);
        status.setReplicatedConfig(replicatedConfig);
        MembershipService membership =
                startMembership(config, replicatedConfig == null ? List.of() : replicatedConfig.knownMembers());
        status.setMembership(membership);
        times.reached(StartPhase.ADMIN_OPEN);
        Logger.info(
                "warmed up with {} requests",
                WarmUp.run(Application::createEventLoop, config.settings(), TimeBudget.ofMs(config.warmUpMs())));
        times.reached(StartPhase.WARMED_UP);
        Application application = new Application();
        Components components = new Components(config, status, reloadSignal, times, membership, replicatedConfig);
        application.start(vertx -> open(vertx, application, components));
    }

    /**
     * The components that exist before the gateway's event loop runs.
     *
     * @param membership null if membership is off
     * @param replicatedConfig null if the replicated configuration is off
     */
    private record Components(
            GatewayConfig config,
            GatewayStatus status,
            ReloadSignal reloadSignal,
            StartupTimes times,
            MembershipService membership,
            ReplicatedConfig replicatedConfig) {}

    private static void startAdminServer(GatewayConfig config, GatewayStatus status) {
        if (config.console() == null) {
            return;
        }
        Vertx eventLoop = Application.createEventLoop();
        Application.listenWithRetries(eventLoop, () -> new AdminServer(eventLoop, status).listen(config.console()))
                .onFailure(e -> {
                    Logger.error("cannot listen at the console address {}: {}", config.console(), e.getMessage());
                    Runtime.getRuntime().halt(1);
                });
    }

    /** Wires the gateway on its event loop and listens for clients once the endpoint list is known. */
    private static void open(Vertx vertx, Application application, Components components) {
        GatewayConfig config = components.config();
        StartupTimes times = components.times();
        times.reached(StartPhase.EVENT_LOOP_UP);
        DescriptorBudget budget = DescriptorBudget.ofThisProcess(config.sockets(), config.console() != null);
        Logger.info("descriptors: {}", budget);
        MemoryBudget memory = MemoryBudget.ofThisProcess(vertx);
        ConnectionPool connections = new ConnectionPool(
                vertx, config.settings(), new RespConnector(vertx, config.settings(), memory), budget.backends());
        RequestDispatcher dispatcher =
                new RequestDispatcher(vertx, new Clock(), config.settings(), config.seed(), connections);
        RespServer server = new RespServer(
                vertx, dispatcher, application.phases(), RespServer.maxConnectionsWithin(budget.clients()), memory);
        ConfigurationApplier applier = new ConfigurationApplier(dispatcher);
        DiscoveryClient discovery = new DiscoveryClient(
                vertx, config.discovery(), config.settings(), new SplittableRandom(config.seed()), applier);
        dispatcher.endpointSource(discovery);
        application.onShutdown(dispatcher, server::drain);
        leaveCluster(application, components);
        components.status().gatewayWired(vertx, dispatcher, server, application.phases());
        if (!config.known().isEmpty()) {
            // After an empty list every backend of discovery's first list would look newly started and get a slow
            // start.
            dispatcher.endpointsChanged(true, config.known(), 0);
        }
        components.reloadSignal().listen(() -> reload(config, vertx, discovery, dispatcher, applier));
        whenEndpointsKnown(vertx, discovery, applier, components).onComplete(known -> {
            times.reached(StartPhase.ENDPOINTS_KNOWN);
            application.open(() -> server.listen(config.listen()).onSuccess(port -> {
                times.reached(StartPhase.LISTENING);
                Logger.info(times.logLine());
            }));
        });
    }

    /** Notifies the other gateways when this process starts its graceful shutdown. */
    private static void leaveCluster(Application application, Components components) {
        application.phases().onChange(phase -> {
            if (phase != Lifecycle.Phase.LEAVING) {
                return;
            }
            if (components.membership() != null) {
                components.membership().leave();
            }
            if (components.replicatedConfig() != null) {
                components.replicatedConfig().leave();
            }
        });
    }

    /**
     * Follows discovery, and the replicated configuration if there is one. The future completes once requests may be
     * accepted.
     *
     * <p>A list that is known from before the start may be out of date. If a local agent pushes the list, requests must
     * not go to a backend that the agent may know to be removed, so the known list is used only if the agent does not
     * respond. If one service is polled, the known list is sufficient: waiting for that service would only keep the
     * gateway out of service longer.
     */
    private static Future<?> whenEndpointsKnown(
            Vertx vertx, DiscoveryClient discovery, ConfigurationApplier applier, Components components) {
        GatewayConfig config = components.config();
        boolean isPolled = config.settings().obligations().listOnRequest();
        boolean isKnownListSufficient = isPolled && !config.known().isEmpty();
        discovery.startFrom(isKnownListSufficient ? config.knownIndex() : DiscoveryClient.NO_INDEX);
        Future<?> endpointsKnown = isKnownListSufficient ? Future.succeededFuture() : discovery.whenReady(!isPolled);
        if (components.replicatedConfig() == null) {
            return endpointsKnown;
        }
        MembershipService membership = components.membership();
        return endpointsKnown.eventually(() -> applier.follow(
                vertx, components.replicatedConfig(), membership == null ? List::of : membership::presentMembers));
    }

    /**
     * Joins the other gateways if membership is on; if it cannot listen for them, the process ends with exit code 1.
     */
    private static MembershipService startMembership(GatewayConfig config, List<Member> known) {
        if (config.membership() == null) {
            return null;
        }
        MembershipService membership = new MembershipService(
                Application.createEventLoop(), config.name(), config.membership(), known, System.out::println);
        membership.start().onFailure(e -> {
            Logger.error(
                    "cannot listen at membership.listen {}: {}",
                    config.membership().listen(),
                    e.getMessage());
            Runtime.getRuntime().halt(1);
        });
        return membership;
    }

    /** Creates the replicated configuration if it is on; the gateway's own jar has no provider for it. */
    private static ReplicatedConfig createReplicatedConfig(GatewayConfig config) {
        if (config.agreement() == null) {
            return null;
        }
        return ServiceLoader.load(ReplicatedConfig.Provider.class)
                .findFirst()
                .orElseThrow(() -> new InvalidConfigurationException(
                        "field agreement is not supported by this program; opalcove.jar supports it"))
                .create(
                        Application.createEventLoop(),
                        config.name(),
                        config.agreement(),
                        config.settings(),
                        System.out::println);
    }

    /**
     * Applies a configuration file that was replaced: a new address of discovery and new settings take effect at once,
     * and open requests keep the settings they had. If the file is invalid, the old configuration stays in force
     * completely.
     */
    private static void reload(
            GatewayConfig started,
            Vertx vertx,
            DiscoveryClient discovery,
            RequestDispatcher dispatcher,
            ConfigurationApplier applier) {
        try {
            GatewayConfig config = GatewayConfig.read(System.getenv());
            dispatcher.metrics().reconfigured(true);
            if (!config.listen().equals(started.listen())) {
                Logger.warn("a new listen address needs a restart: the old one stays in use");
            }
            vertx.runOnContext(read -> {
                if (applier.hasReplicatedVersion()) {
                    Logger.warn("ignoring the settings of the file: a replicated version is in force");
                } else if (!config.settings().equals(dispatcher.settings())) {
                    Logger.info(
                            "new settings are in force: {} classes",
                            config.settings().classes().size());
                    dispatcher.applySettings(config.settings());
                    discovery.applySettings(config.settings());
                }
                discovery.moveTo(config.discovery());
            });
        } catch (InvalidConfigurationException | IllegalArgumentException e) {
            dispatcher.metrics().reconfigured(false);
            Logger.error("the new configuration is refused, the old stays in force: {}", e.getMessage());
        }
    }
}
