package opalcove;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import opalcove.decision.Admission;
import opalcove.gateway.BadSettings;
import opalcove.gateway.Clock;
import opalcove.gateway.Gateway;
import opalcove.gateway.LinkPool;
import opalcove.gateway.Phases.Phase;
import opalcove.gateway.Phases;
import opalcove.mqtt.MqttDialler;
import opalcove.mqtt.MqttFront;
import opalcove.mqtt.MqttSettings;
import opalcove.plan.ControlDesk;
import opalcove.plan.Planner;
import opalcove.platform.Config;
import opalcove.platform.DiscoveryWatch;
import opalcove.platform.Hangups;
import opalcove.platform.Rehearsal;
import opalcove.platform.RespDialler;
import opalcove.platform.RespFront;
import opalcove.sim.Adapter;
import org.tinylog.Logger;

/**
 * Wires the parts together: {@code serve} is one gateway on the platform, {@code mqtt FILE} the same core behind the
 * MQTT front, {@code plan} and {@code apply} change its node list, {@code adapter} is the decisions on the
 * simulator's wire.
 */
public final class Main {
    /** How long the front may go on sending new connections after it was told that this gateway leaves, ms. */
    private static final long LEAVING_MS = 500;
    /** How long to wait for discovery's first answer before the list known from before must do, ms. */
    private static final long FIRST_LIST_MS = 1000;
    /** How long the rehearsal may take, ms; it is over sooner on a whole core. */
    private static final long REHEARSAL_MS = 4000;

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        String command = args.length == 0 ? "" : args[0] + " " + (args.length - 1);
        try {
            switch (command) {
                case "serve 0" -> {
                    // Before anything else: unheard, SIGHUP would end the program.
                    Hangups hangups = new Hangups();
                    serve(Config.read(System.getenv()), hangups);
                }
                case "adapter 0" -> adapt();
                case "mqtt 1" -> serveMqtt(MqttSettings.read(Path.of(args[1])));
                case "plan 2" -> plan(MqttSettings.read(Path.of(args[1])), Path.of(args[1]), Path.of(args[2]));
                case "apply 1" -> apply(Path.of(args[1]));
                default -> {
                    System.err.println("usage: java -jar opalcove.jar serve | mqtt FILE | plan FILE PLAN | apply PLAN"
                            + " | adapter");
                    System.exit(2);
                }
            }
        } catch (BadSettings e) {
            e.getMessage().lines().forEach(line -> System.err.println("opalcove: " + line));
            System.err.flush();
            Runtime.getRuntime().halt(1);
        }
    }

    private static void adapt() throws IOException {
        try (OutputStream output = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new Adapter(new FileInputStream(FileDescriptor.in), output).run();
        }
    }

    /** One event loop, and no file cache: the file system may be read-only. */
    private static Vertx vertx() {
        return Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(new FileSystemOptions().setFileCachingEnabled(false)
                        .setClassPathResolvingEnabled(false)));
    }

    /** The platform's gateway: RESP2 on both sides, the node list from discovery. */
    private static void serve(Config config, Hangups hangups) {
        Logger.info("rehearsed {} asks", Rehearsal.play(vertx(), config.settings(), REHEARSAL_MS));
        Vertx vertx = vertx();
        Phases phases = new Phases();
        CountDownLatch stopped = new CountDownLatch(1);
        vertx.runOnContext(start -> {
            LinkPool links = new LinkPool(vertx, config.settings(), new RespDialler(vertx, config.settings()),
                    config.sockets() * 2 / 5);
            Gateway gateway = new Gateway(vertx, new Clock(), config.settings(), config.seed(), links);
            RespFront front = new RespFront(vertx, gateway, phases, config.sockets() * 2 / 5);
            DiscoveryWatch discovery = new DiscoveryWatch(vertx, config.discovery(), gateway::nodesTold);
            end(vertx, phases, stopped, gateway, front::drain);
            if (!config.known().isEmpty()) {
                // An empty list would make every node of discovery's first one look newly started, and cold.
                gateway.nodesTold(true, config.known());
            }
            hangups.listen(() -> reload(config, vertx, discovery));
            discovery.start().timeout(FIRST_LIST_MS, TimeUnit.MILLISECONDS).onComplete(listed ->
                    open(phases, front.listen(config.listen())));
        });
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(vertx, phases, stopped), "leave"));
    }

    /** The file was replaced: discovery moves at once; a file that cannot be used leaves the old one in force. */
    private static void reload(Config started, Vertx vertx, DiscoveryWatch discovery) {
        try {
            Config config = Config.read(System.getenv());
            if (!config.settings().equals(started.settings()) || !config.listen().equals(started.listen())) {
                Logger.warn("new settings or a new address to listen at need a restart: only discovery's is taken over");
            }
            vertx.runOnContext(read -> discovery.moveTo(config.discovery()));
        } catch (BadSettings e) {
            Logger.error("the new configuration is refused, the old stays in force: {}", e.getMessage());
        }
    }

    /** The MQTT front by its settings file; its app nodes may be MQTT servers or speak RESP2. */
    private static void serveMqtt(MqttSettings config) {
        Vertx vertx = vertx();
        Phases phases = new Phases();
        CountDownLatch stopped = new CountDownLatch(1);
        vertx.runOnContext(start -> {
            LinkPool.Dialler mqtt = new MqttDialler(vertx, config.settings(), config.name());
            LinkPool.Dialler resp = new RespDialler(vertx, config.settings());
            LinkPool links = new LinkPool(vertx, config.settings(), address ->
                    (address.startsWith(MqttDialler.SCHEME) ? mqtt : resp).dial(address), config.mostLinks());
            Clock clock = new Clock();
            Gateway gateway = new Gateway(vertx, clock, config.settings(), System.nanoTime(), links);
            MqttFront front = new MqttFront(vertx, gateway, phases, clock, config.mostTerminals());
            end(vertx, phases, stopped, gateway, front::drain);
            gateway.nodesTold(true, config.nodes());
            Future<Integer> desk = config.control() == null ? Future.succeededFuture(0)
                    : new ControlDesk(vertx, gateway).listen(config.control());
            open(phases, desk.compose(opened -> front.listen(config.listen())));
        });
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(vertx, phases, stopped), "leave"));
    }

    private static void plan(MqttSettings wanted, Path file, Path planFile) throws IOException {
        if (wanted.control() == null) {
            throw new BadSettings(file + ": field control is missing");
        }
        Vertx vertx = vertx();
        System.out.print(new Planner(vertx).plan(wanted.control(), wanted.nodes(), planFile));
        vertx.close();
    }

    private static void apply(Path planFile) throws IOException {
        Vertx vertx = vertx();
        System.out.print(new Planner(vertx).apply(planFile));
        vertx.close();
    }

    private static void open(Phases phases, Future<Integer> listening) {
        listening.onSuccess(port -> phases.enter(Phase.SERVING)).onFailure(e -> {
            Logger.error("cannot listen: {}", e.getMessage());
            Runtime.getRuntime().halt(1);
        });
    }

    /** What the phases at the end of the program do. */
    private static void end(Vertx vertx, Phases phases, CountDownLatch stopped, Gateway gateway,
                            Consumer<Runnable> drain) {
        phases.watch(phase -> {
            switch (phase) {
                case LEAVING -> vertx.setTimer(LEAVING_MS, due -> phases.enter(Phase.DRAINING));
                case DRAINING -> {
                    drain.accept(() -> phases.enter(Phase.STOPPED));
                    // Guards the end against a terminal that reads no answer: by then none is owed any more.
                    vertx.setTimer(longestWait(gateway) + LEAVING_MS, due -> phases.enter(Phase.STOPPED));
                }
                case STOPPED -> {
                    Logger.info("counters\n{}", gateway.figures());
                    stopped.countDown();
                }
                default -> { }
            }
        });
    }

    private static long longestWait(Gateway gateway) {
        return (long) gateway.settings().classes().stream().mapToDouble(Admission.RequestClass::deadlineMs).max()
                .orElse(0);
    }

    /** SIGTERM: what is taken is answered first; then the program has ended well. */
    private static void leave(Vertx vertx, Phases phases, CountDownLatch stopped) {
        vertx.runOnContext(told -> phases.enter(Phase.LEAVING));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
