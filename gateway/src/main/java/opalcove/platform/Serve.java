package opalcove.platform;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.ServiceLoader;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import opalcove.cluster.AgreedState;
import opalcove.cluster.Membership;
import opalcove.gateway.AppNode;
import opalcove.gateway.BadSettings;
import opalcove.gateway.Budget;
import opalcove.gateway.Clock;
import opalcove.gateway.Gateway;
import opalcove.gateway.LinkPool;
import opalcove.gateway.Phases;
import opalcove.gateway.Program;
import opalcove.gateway.StartTimes;
import opalcove.gateway.StartTimes.StartPhase;
import opalcove.membership.Member;
import org.tinylog.Logger;

/** The platform's gateway: RESP2 on both sides, the node list from discovery. */
public final class Serve {
    /** How long to wait for a voter's word on the version in force, ms. */
    private static final long FIRST_VERSION_MS = 12_000;

    private Serve() {}

    /** Starts the gateway by what the platform tells; gives way at once, the program goes on by itself. */
    public static void start() {
        StartTimes times = new StartTimes();
        // Before anything else: unheard, SIGHUP would end the program.
        Hangups hangups = new Hangups();
        Config config = Config.read(System.getenv());
        times.reached(StartPhase.CONFIGURATION_READ);
        // The door opens first, so that operators are told how far the start has come.
        Door door = new Door();
        openConsole(config, door);
        AgreedState agreed = agree(config);
        door.agreed = agreed;
        Membership membership = join(config, agreed == null ? List.of() : agreed.known());
        door.membership = membership;
        times.reached(StartPhase.DOOR_OPEN);
        Logger.info(
                "rehearsed {} asks",
                Rehearsal.play(Program::eventLoop, config.settings(), Budget.ofMs(config.rehearsalMs())));
        times.reached(StartPhase.REHEARSED);
        Program program = new Program();
        Parts parts = new Parts(config, door, hangups, times, membership, agreed);
        program.start(vertx -> open(vertx, program, parts));
    }

    /**
     * What the start has made before the event loop runs; {@code membership} and {@code agreed} are null where the settings
     * have none.
     */
    private record Parts(
            Config config, Door door, Hangups hangups, StartTimes times, Membership membership, AgreedState agreed) {}

    private static void openConsole(Config config, Door door) {
        if (config.console() == null) {
            return;
        }
        Vertx loop = Program.eventLoop();
        Program.listening(loop, () -> new Console(loop, door).listen(config.console()))
                .onFailure(e -> {
                    Logger.error("cannot listen at the console address {}: {}", config.console(), e.getMessage());
                    Runtime.getRuntime().halt(1);
                });
    }

    /** Puts the gateway together on its event loop, and opens its front once the list of backends is known. */
    private static void open(Vertx vertx, Program program, Parts parts) {
        Config config = parts.config();
        StartTimes times = parts.times();
        times.reached(StartPhase.EVENT_LOOP_UP);
        DescriptorBudget budget = DescriptorBudget.ofThisProcess(config.sockets(), config.console() != null);
        Logger.info("descriptors: {}", budget);
        LinkPool links =
                new LinkPool(vertx, config.settings(), new RespDialler(vertx, config.settings()), budget.backends());
        Gateway gateway = new Gateway(vertx, new Clock(), config.settings(), config.seed(), links);
        RespFront front = new RespFront(vertx, gateway, program.phases(), RespFront.terminalsWithin(budget.clients()));
        Versions versions = new Versions(gateway);
        DiscoveryWatch discovery = new DiscoveryWatch(
                vertx, config.discovery(), config.settings(), new SplittableRandom(config.seed()), versions);
        gateway.nodeListSource(discovery);
        program.atEnd(gateway, front::drain);
        leaveWith(program, parts);
        parts.door().serve(vertx, gateway, front, program.phases());
        if (!config.known().isEmpty()) {
            // An empty list would make every node of discovery's first one look newly started, and cold.
            gateway.nodesTold(true, config.known(), 0);
        }
        parts.hangups().listen(() -> reload(config, vertx, discovery, gateway, versions));
        listKnown(vertx, discovery, versions, parts).onComplete(ready -> {
            times.reached(StartPhase.LIST_KNOWN);
            program.open(() -> front.listen(config.listen()).onSuccess(port -> {
                times.reached(StartPhase.FRONT_OPEN);
                Logger.info(times.line());
            }));
        });
    }

    /** Tells the other gateways when the program begins to leave. */
    private static void leaveWith(Program program, Parts parts) {
        program.phases().watch(phase -> {
            if (phase != Phases.Phase.LEAVING) {
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
    private static Future<?> listKnown(Vertx vertx, DiscoveryWatch discovery, Versions versions, Parts parts) {
        Config config = parts.config();
        boolean asked = config.settings().duties().listOnRequest();
        boolean knownWillDo = asked && !config.known().isEmpty();
        discovery.startFrom(knownWillDo ? config.knownIndex() : DiscoveryWatch.NO_INDEX);
        Future<?> first = knownWillDo ? Future.succeededFuture() : discovery.firstWord(!asked);
        if (parts.agreed() == null) {
            return first;
        }
        Membership membership = parts.membership();
        return first.eventually(
                () -> versions.follow(vertx, parts.agreed(), membership == null ? List::of : membership::fleet));
    }

    /** Joins the other gateways where the settings have it; a member that cannot listen ends the start with 1. */
    private static Membership join(Config config, List<Member> known) {
        if (config.membership() == null) {
            return null;
        }
        Membership membership =
                new Membership(Program.eventLoop(), config.name(), config.membership(), known, System.out::println);
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
    private static AgreedState agree(Config config) {
        if (config.agreement() == null) {
            return null;
        }
        return ServiceLoader.load(AgreedState.Provider.class)
                .findFirst()
                .orElseThrow(
                        () -> new BadSettings("field agreement: this program has no part for it, opalcove.jar has"))
                .make(Program.eventLoop(), config.name(), config.agreement(), config.settings(), System.out::println);
    }

    /** The gateway by agreed versions; without any, by its own file and by discovery. On the gateway's event loop. */
    private static final class Versions implements DiscoveryWatch.Listener {
        private final Gateway gateway;
        private AgreedState.Acting acting;

        Versions(Gateway gateway) {
            this.gateway = gateway;
        }

        /** Acts on what is agreed from now on; done once that is known, or after so long that clients are taken without. */
        Future<Void> follow(Vertx vertx, AgreedState agreed, Supplier<List<Member>> fleet) {
            gateway.beforeEachAsk(() -> {
                AgreedState.Acting lapsed = agreed.lapsed();
                if (lapsed != null && acting != null && !acting.strict()) {
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

        private void act(AgreedState.Acting next) {
            boolean colder = next.coldSinceMs() > 0 && (acting == null || acting.coldSinceMs() != next.coldSinceMs());
            acting = next;
            gateway.retune(next.settings());
            if (next.nodes() != null) {
                gateway.nodesTold(true, cold(next.nodes()));
            } else if (colder) {
                gateway.nodesTold(true, cold(gateway.nodes()));
            }
        }

        /** After a power loss the list may be of before: no node counts as started earlier than this gateway. */
        private List<AppNode> cold(List<AppNode> nodes) {
            if (acting == null || acting.coldSinceMs() == 0) {
                return nodes;
            }
            return nodes.stream()
                    .map(node -> new AppNode(node.host().startedSince(acting.coldSinceMs()), node.address()))
                    .toList();
        }

        /** Discovery's word holds where no agreed version has the list. */
        @Override
        public void told(boolean whole, List<AppNode> lines, double discoveryNow) {
            if (acting == null || acting.nodes() == null) {
                gateway.nodesTold(whole, cold(lines), discoveryNow);
            }
        }

        @Override
        public void heard() {
            gateway.listHeard();
        }

        @Override
        public void untold(boolean refused) {
            gateway.listUntold(refused);
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
            Config started, Vertx vertx, DiscoveryWatch discovery, Gateway gateway, Versions versions) {
        try {
            Config config = Config.read(System.getenv());
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
                    gateway.retune(config.settings());
                    discovery.retune(config.settings());
                }
                discovery.moveTo(config.discovery());
            });
        } catch (BadSettings | IllegalArgumentException e) {
            gateway.metrics().reconfigured(false);
            Logger.error("the new configuration is refused, the old stays in force: {}", e.getMessage());
        }
    }

    /**
     * What the operators' door sees of the gateway. Until the gateway is wired, the process is starting; afterwards
     * state is read from the door's thread, so what it reads is published here, and what it does goes to the event loop.
     */
    static final class Door implements Console.Gateway {
        private volatile Phases.Phase phase = Phases.Phase.STARTING;
        private volatile boolean away;
        private Vertx vertx;
        private Gateway gateway;
        private RespFront front;
        private volatile Membership membership;
        private volatile AgreedState agreed;

        synchronized void serve(Vertx loop, Gateway wired, RespFront wiredFront, Phases phases) {
            vertx = loop;
            gateway = wired;
            front = wiredFront;
            phases.watch(next -> phase = next);
            if (away) {
                vertx.runOnContext(told -> front.sendAway(true));
            }
        }

        @Override
        public String notReady() {
            if (phase != Phases.Phase.SERVING) {
                return phase.word();
            }
            return away ? "clients are sent away" : null;
        }

        @Override
        public synchronized String figures() {
            return (gateway == null ? "" : gateway.metrics().lines())
                    + (membership == null ? "" : membership.lines())
                    + (agreed == null ? "" : agreed.lines());
        }

        @Override
        public String members() {
            return membership == null ? null : membership.members();
        }

        @Override
        public synchronized void sendAway(boolean send) {
            away = send;
            if (vertx != null) {
                vertx.runOnContext(told -> front.sendAway(send));
            }
        }
    }
}
