package opalcove.server;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.ServiceLoader;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import opalcove.admin.AdminServer;
import opalcove.backend.ConnectionPool;
import opalcove.cluster.MembershipService;
import opalcove.config.Backend;
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
import opalcove.resp.RespConnector;
import opalcove.resp.RespServer;
import opalcove.resp.WarmUp;
import org.tinylog.Logger;

/** The platform's gateway: RESP2 on both sides, the node list from discovery. */
public final class GatewayServer {
    /** How long to wait for a voter's word on the version in force, ms. */
    private static final long FIRST_VERSION_MS = 12_000;

    private GatewayServer() {}

    /** Starts the gateway by what the platform tells; gives way at once, the program goes on by itself. */
    public static void start() {
        StartupTimes times = new StartupTimes();
        // Before anything else: unheard, SIGHUP would end the program.
        ReloadSignal hangups = new ReloadSignal();
        GatewayConfig config = GatewayConfig.read(System.getenv());
        times.reached(StartPhase.CONFIGURATION_READ);
        // The door opens first, so that operators are told how far the start has come.
        AdminCommands door = new AdminCommands();
        openConsole(config, door);
        ReplicatedConfig agreed = agree(config);
        door.agreed = agreed;
        MembershipService membership = join(config, agreed == null ? List.of() : agreed.knownMembers());
        door.membership = membership;
        times.reached(StartPhase.ADMIN_OPEN);
        Logger.info(
                "rehearsed {} asks",
                WarmUp.run(Application::createEventLoop, config.settings(), TimeBudget.ofMs(config.rehearsalMs())));
        times.reached(StartPhase.WARMED_UP);
        Application program = new Application();
        Parts parts = new Parts(config, door, hangups, times, membership, agreed);
        program.start(vertx -> open(vertx, program, parts));
    }

    /**
     * What the start has made before the event loop runs; {@code membership} and {@code agreed} are null where the settings
     * have none.
     */
    private record Parts(
            GatewayConfig config,
            AdminCommands door,
            ReloadSignal hangups,
            StartupTimes times,
            MembershipService membership,
            ReplicatedConfig agreed) {}

    private static void openConsole(GatewayConfig config, AdminCommands door) {
        if (config.console() == null) {
            return;
        }
        Vertx loop = Application.createEventLoop();
        Application.listenWithRetries(loop, () -> new AdminServer(loop, door).listen(config.console()))
                .onFailure(e -> {
                    Logger.error("cannot listen at the console address {}: {}", config.console(), e.getMessage());
                    Runtime.getRuntime().halt(1);
                });
    }

    /** Puts the gateway together on its event loop, and opens its front once the list of backends is known. */
    private static void open(Vertx vertx, Application program, Parts parts) {
        GatewayConfig config = parts.config();
        StartupTimes times = parts.times();
        times.reached(StartPhase.EVENT_LOOP_UP);
        DescriptorBudget budget = DescriptorBudget.ofThisProcess(config.sockets(), config.console() != null);
        Logger.info("descriptors: {}", budget);
        ConnectionPool links = new ConnectionPool(
                vertx, config.settings(), new RespConnector(vertx, config.settings()), budget.backends());
        RequestDispatcher gateway = new RequestDispatcher(vertx, new Clock(), config.settings(), config.seed(), links);
        RespServer front =
                new RespServer(vertx, gateway, program.phases(), RespServer.maxConnectionsWithin(budget.clients()));
        Versions versions = new Versions(gateway);
        DiscoveryClient discovery = new DiscoveryClient(
                vertx, config.discovery(), config.settings(), new SplittableRandom(config.seed()), versions);
        gateway.endpointSource(discovery);
        program.onShutdown(gateway, front::drain);
        leaveWith(program, parts);
        parts.door().serve(vertx, gateway, front, program.phases());
        if (!config.known().isEmpty()) {
            // An empty list would make every node of discovery's first one look newly started, and cold.
            gateway.endpointsChanged(true, config.known(), 0);
        }
        parts.hangups().listen(() -> reload(config, vertx, discovery, gateway, versions));
        listKnown(vertx, discovery, versions, parts).onComplete(ready -> {
            times.reached(StartPhase.ENDPOINTS_KNOWN);
            program.open(() -> front.listen(config.listen()).onSuccess(port -> {
                times.reached(StartPhase.LISTENING);
                Logger.info(times.logLine());
            }));
        });
    }

    /** Tells the other gateways when the program begins to leave. */
    private static void leaveWith(Application program, Parts parts) {
        program.phases().onChange(phase -> {
            if (phase != Lifecycle.Phase.LEAVING) {
                return;
            }
            if (parts.membership() != null) {
                parts.membership().leave();
            }
            if (parts.agreed() != null) {
                parts.agreed().leave();
            }
        });
    }

    /**
     * Follows discovery, and the agreed versions where there are any, and completes once requests may be taken.
     *
     * <p>A list known from before may be out of date: requests must not go to a backend that the agent could have told is
     * gone, and only where that does not answer must the known list do. Where one service has to be asked the known list
     * will do, for waiting for that service only keeps a gateway away longer.
     */
    private static Future<?> listKnown(Vertx vertx, DiscoveryClient discovery, Versions versions, Parts parts) {
        GatewayConfig config = parts.config();
        boolean asked = config.settings().obligations().listOnRequest();
        boolean knownWillDo = asked && !config.known().isEmpty();
        discovery.startFrom(knownWillDo ? config.knownIndex() : DiscoveryClient.NO_INDEX);
        Future<?> first = knownWillDo ? Future.succeededFuture() : discovery.firstWord(!asked);
        if (parts.agreed() == null) {
            return first;
        }
        MembershipService membership = parts.membership();
        return first.eventually(() ->
                versions.follow(vertx, parts.agreed(), membership == null ? List::of : membership::presentMembers));
    }

    /** Joins the other gateways where the settings have it; a member that cannot listen ends the start with 1. */
    private static MembershipService join(GatewayConfig config, List<Member> known) {
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

    /** Takes part in agreed versions where the settings have it; the platform's program has no part for that. */
    private static ReplicatedConfig agree(GatewayConfig config) {
        if (config.agreement() == null) {
            return null;
        }
        return ServiceLoader.load(ReplicatedConfig.Provider.class)
                .findFirst()
                .orElseThrow(() -> new InvalidConfigurationException(
                        "field agreement: this program has no part for it, opalcove.jar has"))
                .create(
                        Application.createEventLoop(),
                        config.name(),
                        config.agreement(),
                        config.settings(),
                        System.out::println);
    }

    /** The gateway by agreed versions; without any, by its own file and by discovery. On the gateway's event loop. */
    private static final class Versions implements DiscoveryClient.Listener {
        private final RequestDispatcher gateway;
        private ReplicatedConfig.EffectiveConfig acting;

        Versions(RequestDispatcher gateway) {
            this.gateway = gateway;
        }

        /** Acts on what is agreed from now on; done once that is known, or after so long that clients are taken without. */
        Future<Void> follow(Vertx vertx, ReplicatedConfig agreed, Supplier<List<Member>> fleet) {
            gateway.beforeEachRequest(() -> {
                ReplicatedConfig.EffectiveConfig lapsed = agreed.effectiveIfExpired();
                if (lapsed != null && acting != null && !acting.isStrict()) {
                    act(lapsed);
                }
            });
            Promise<Void> known = Promise.promise();
            agreed.start(next -> vertx.runOnContext(told -> act(next)), fleet)
                    .onFailure(e -> {
                        Logger.error("cannot listen at agreement.listen: {}", e.getMessage());
                        Runtime.getRuntime().halt(1);
                    })
                    .onSuccess(heard -> vertx.runOnContext(told -> known.tryComplete()));
            vertx.setTimer(FIRST_VERSION_MS, due -> {
                if (known.tryComplete()) {
                    Logger.error(
                            "no voter has said which version is in force: clients are taken by the file's settings");
                }
            });
            return known.future();
        }

        private void act(ReplicatedConfig.EffectiveConfig next) {
            boolean colder = next.startedNotBeforeMs() > 0
                    && (acting == null || acting.startedNotBeforeMs() != next.startedNotBeforeMs());
            acting = next;
            gateway.applySettings(next.settings());
            if (next.backends() != null) {
                gateway.endpointsChanged(true, cold(next.backends()));
            } else if (colder) {
                gateway.endpointsChanged(true, cold(gateway.backends()));
            }
        }

        /** After a power loss the list may be of before: no node counts as started earlier than this gateway. */
        private List<Backend> cold(List<Backend> backends) {
            if (acting == null || acting.startedNotBeforeMs() == 0) {
                return backends;
            }
            return backends.stream()
                    .map(backend -> new Backend(
                            backend.endpoint().startedSince(acting.startedNotBeforeMs()), backend.address()))
                    .toList();
        }

        /** Discovery's word holds where no agreed version has the list. */
        @Override
        public void told(boolean whole, List<Backend> lines, double discoveryNow) {
            if (acting == null || acting.backends() == null) {
                gateway.endpointsChanged(whole, cold(lines), discoveryNow);
            }
        }

        @Override
        public void heard() {
            gateway.endpointSourceContacted();
        }

        @Override
        public void untold(boolean refused) {
            gateway.endpointUpdateFailed(refused);
        }

        boolean hold() {
            return acting != null;
        }
    }

    /**
     * The file was replaced: discovery moves and new settings are taken at once (asks under way keep theirs); a file
     * that cannot be used leaves the old one in force, whole.
     */
    private static void reload(
            GatewayConfig started,
            Vertx vertx,
            DiscoveryClient discovery,
            RequestDispatcher gateway,
            Versions versions) {
        try {
            GatewayConfig config = GatewayConfig.read(System.getenv());
            gateway.metrics().reconfigured(true);
            if (!config.listen().equals(started.listen())) {
                Logger.warn("a new address to listen at needs a restart: the old one stays");
            }
            vertx.runOnContext(read -> {
                if (versions.hold()) {
                    Logger.warn("the file's settings are left out: an agreed version is in force");
                } else if (!config.settings().equals(gateway.settings())) {
                    Logger.info(
                            "new settings are in force: {} classes",
                            config.settings().classes().size());
                    gateway.applySettings(config.settings());
                    discovery.retune(config.settings());
                }
                discovery.moveTo(config.discovery());
            });
        } catch (InvalidConfigurationException | IllegalArgumentException e) {
            gateway.metrics().reconfigured(false);
            Logger.error("the new configuration is refused, the old stays in force: {}", e.getMessage());
        }
    }

    /**
     * What the operators' door sees of the gateway. Until the gateway is wired, the process is starting; afterwards
     * state is read from the door's thread, so what it reads is published here, and what it does goes to the event loop.
     */
    public static final class AdminCommands implements AdminServer.Gateway {
        private volatile Lifecycle.Phase phase = Lifecycle.Phase.STARTING;
        private volatile boolean away;
        private Vertx vertx;
        private RequestDispatcher gateway;
        private RespServer front;
        private volatile MembershipService membership;
        private volatile ReplicatedConfig agreed;

        /** Publishes the gateway once it is wired. */
        public synchronized void serve(Vertx loop, RequestDispatcher wired, RespServer wiredFront, Lifecycle phases) {
            vertx = loop;
            gateway = wired;
            front = wiredFront;
            phases.onChange(next -> phase = next);
            if (away) {
                vertx.runOnContext(told -> front.setDrainRequested(true));
            }
        }

        @Override
        public String notReady() {
            if (phase != Lifecycle.Phase.SERVING) {
                return phase.operatorName();
            }
            return away ? "clients are sent away" : null;
        }

        @Override
        public synchronized String figures() {
            return (gateway == null ? "" : gateway.metrics().statsdLines())
                    + (membership == null ? "" : membership.figures())
                    + (agreed == null ? "" : agreed.figures());
        }

        @Override
        public String members() {
            return membership == null ? null : membership.memberList();
        }

        @Override
        public synchronized void sendAway(boolean send) {
            away = send;
            if (vertx != null) {
                vertx.runOnContext(told -> front.setDrainRequested(send));
            }
        }
    }
}
