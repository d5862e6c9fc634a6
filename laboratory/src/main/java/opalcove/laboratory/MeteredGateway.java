package opalcove.laboratory;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.internal.VertxBootstrap;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import javax.management.JMException;
import javax.management.ObjectName;
import opalcove.backend.ConnectionPool;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.config.HostAndPort;
import opalcove.core.RequestDispatcher;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import opalcove.lifecycle.Lifecycle;
import opalcove.mqtt.MqttRequestServer;
import opalcove.resp.RespConnector;
import opalcove.resp.RespServer;

/**
 * A gateway in a process of its own that counts what its event loop does: the parts that {@code serve} and {@code mqtt}
 * wire together, on a {@link CountingTransport}. It reads commands from standard input: {@code mark} prints the counts so
 * far, {@code classes} what lies on the heap by class, garbage included. It ends with its input.
 */
public final class MeteredGateway {
    private static final int MAX_CONNECTIONS_PER_BACKEND = 2000;

    private final Counts counts = new Counts();
    private final Vertx vertx;
    private final CompletableFuture<Integer> port = new CompletableFuture<>();
    private volatile long loopThread;

    private MeteredGateway(Lockstep.LockstepClient lockstep) {
        vertx = VertxBootstrap.create()
                .options(new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1))
                .transport(new CountingTransport(counts, lockstep))
                .init()
                .vertx();
    }

    /** Arguments: the front, resp or mqtt; the number of app nodes in the list; their one port; that of the lockstep (0: none). */
    public static void main(String[] args) throws Exception {
        MeteredGateway gateway =
                new MeteredGateway(args[3].equals("0") ? null : new Lockstep.LockstepClient(Integer.parseInt(args[3])));
        gateway.start(args[0], Integer.parseInt(args[1]), Integer.parseInt(args[2]));
        PrintStream out = new PrintStream(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.UTF_8);
        out.println(gateway.port.get());
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            out.println(
                    switch (line) {
                        case "classes" -> classes();
                        case "collect" -> collect();
                        default -> gateway.mark();
                    });
        }
        System.exit(0);
    }

    private void start(String kind, int nodes, int nodePort) {
        vertx.runOnContext(start -> {
            loopThread = Thread.currentThread().getId();
            DecisionSettings settings = Laboratory.settings();
            Lifecycle phases = new Lifecycle();
            Clock clock = new Clock();
            RequestDispatcher gateway = new RequestDispatcher(
                    vertx,
                    clock,
                    settings,
                    7,
                    new ConnectionPool(
                            vertx, settings, new RespConnector(vertx, settings), MAX_CONNECTIONS_PER_BACKEND));
            List<Backend> list = new ArrayList<>();
            for (int i = 0; i < nodes; i++) {
                list.add(new Backend(
                        new Endpoint("node-" + i, settings.zone(), "std-3", i, EndpointState.UP, 1, 0),
                        "127.0.0.1:" + nodePort));
            }
            gateway.endpointsChanged(true, list);
            HostAndPort any = new HostAndPort("127.0.0.1", 0);
            Future<Integer> listening = kind.equals("mqtt")
                    ? new MqttRequestServer(vertx, gateway, phases, clock, 1000).listen(any)
                    : new RespServer(vertx, gateway, phases, 1000).listen(any);
            listening.onSuccess(port::complete).onFailure(port::completeExceptionally);
            phases.enter(Lifecycle.Phase.SERVING);
        });
    }

    /** The counts as they stand between two turns of the loop, which this call adds one turn to. */
    private String mark() throws Exception {
        CompletableFuture<JsonObject> mark = new CompletableFuture<>();
        vertx.runOnContext(now -> {
            ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
            mark.complete(Json.object()
                    .add("allocated", threads.getThreadAllocatedBytes(loopThread))
                    .add("reads", counts.reads)
                    .add("writes", counts.writes)
                    .add("waits", counts.waits)
                    .add("tasks", counts.tasks)
                    .add("read", counts.bytesRead)
                    .add("copied_out", counts.bytesCopiedOut)
                    .add(
                            "collections",
                            ManagementFactory.getGarbageCollectorMXBeans().stream()
                                    .mapToLong(GarbageCollectorMXBean::getCollectionCount)
                                    .sum())
                    .add("loop_cpu_ns", threads.getThreadCpuTime(loopThread))
                    .add(
                            "cpu_ns",
                            ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                                    .getProcessCpuTime()));
        });
        return mark.get().toString();
    }

    /** Leaves no garbage, so that none need be collected for a while. */
    private static String collect() {
        System.gc();
        return "{}";
    }

    /** Objects and bytes by class: {@code {"java.lang.String": [objects, bytes], ...}}. */
    private static String classes() throws JMException {
        String text = (String) ManagementFactory.getPlatformMBeanServer()
                .invoke(
                        new ObjectName("com.sun.management:type=DiagnosticCommand"),
                        "gcClassHistogram",
                        new Object[] {new String[] {"-all"}},
                        new String[] {String[].class.getName()});
        JsonObject classes = Json.object();
        text.lines()
                .map(line -> line.strip().split("\\s+"))
                .filter(fields -> fields.length >= 4 && fields[0].endsWith(":"))
                .forEach(fields -> classes.set(
                        fields[3], Json.array().add(Long.parseLong(fields[1])).add(Long.parseLong(fields[2]))));
        return classes.toString();
    }
}
