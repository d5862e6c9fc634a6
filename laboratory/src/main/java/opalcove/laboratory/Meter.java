package opalcove.laboratory;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Counts what an ask costs a gateway on the ordinary path: a {@link MeteredGateway} in a process of its own, one app node
 * that answers at once, and a load. Counts are differences between two marks over the number of asks, so what the
 * process did before (start, class loading, the asks that warm it) is in none of them.
 */
public final class Meter implements AutoCloseable {
    /** Flags with which no garbage is collected between two marks, so that the heap tells each object by its class. */
    private static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms512m",
            "-Xmx512m",
            "-Xmn440m",
            "-Dvertx.disableDnsResolver=true");
    /** The app nodes behind the gateway: how many its list has, what they answer, and after how long. */
    public record Nodes(int number, int valueBytes, long workMs) {}

    /** What one ask cost, on average. Bytes and objects are those of the event loop's thread; CPU is the process's. */
    public record Costs(
            double allocatedBytes,
            double objects,
            double reads,
            double writes,
            double waits,
            double tasks,
            double timers,
            double copiedOutBytes,
            double cpuUs,
            Map<String, double[]> classes,
            LoadReport load) {
        /** The report as one JSON object. */
        public JsonObject json() {
            JsonObject top = Json.object();
            classes.entrySet().stream()
                    .sorted((a, b) -> Double.compare(b.getValue()[1], a.getValue()[1]))
                    .limit(40)
                    .forEach(each -> top.add(each.getKey(), Json.array(each.getValue())));
            return Json.object()
                    .add("allocated_bytes", allocatedBytes)
                    .add("objects", objects)
                    .add("reads", reads)
                    .add("writes", writes)
                    .add("waits", waits)
                    .add("tasks", tasks)
                    .add("timers", timers)
                    .add("copied_out_bytes", copiedOutBytes)
                    .add("cpu_us", cpuUs)
                    .add("classes", top)
                    .add("load", load.json());
        }
    }

    private final BackendEmulator node;
    private final Process gateway;
    private final BufferedReader answers;
    private final PrintStream commands;
    private final Load load;
    private final Lockstep lockstep;

    /**
     * Starts gateway and node, opens the connections of the plan and warms the gateway with that many asks. In
     * lockstep the gateway's loop looks at its sockets only when load and node have done all they can.
     */
    public Meter(LoadPlan plan, Nodes nodes, boolean lockstep, int warmUpRequests, Consumer<String> progress)
            throws Exception {
        Lockstep.Still nodeLoop = new Lockstep.Still();
        Lockstep.Still loadLoop = new Lockstep.Still();
        node = new BackendEmulator(nodeLoop.group(), nodes.valueBytes(), nodes.workMs());
        this.lockstep = lockstep ? new Lockstep(List.of(nodeLoop, loadLoop)) : null;
        List<String> command = new ArrayList<>(List.of(java()));
        command.addAll(FLAGS);
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                MeteredGateway.class.getName(),
                plan.mqtt() ? "mqtt" : "resp",
                Integer.toString(nodes.number()),
                Integer.toString(node.port()),
                Integer.toString(this.lockstep == null ? 0 : this.lockstep.port())));
        gateway = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        answers = gateway.inputReader(StandardCharsets.UTF_8);
        commands = new PrintStream(gateway.getOutputStream(), true, StandardCharsets.UTF_8);
        load = new Load(loadLoop.group(), plan.withPort(Integer.parseInt(line())), progress);
        load.run(warmUpRequests);
    }

    static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    /** The gateway's process, for tools that look at it from outside. */
    public long pid() {
        return gateway.pid();
    }

    /** Counts over so many asks; objects by class only where asked for, which takes a pass over the heap. */
    public Costs measure(int requests, boolean byClass) throws Exception {
        request("collect");
        JsonObject classesBefore = byClass ? request("classes") : Json.object();
        JsonObject before = request("mark");
        LoadReport report = load.run(requests);
        JsonObject after = request("mark");
        if (byClass && after.getInt("collections", 0) != before.getInt("collections", 0)) {
            throw new IllegalStateException("garbage was collected on the way: objects can be counted over fewer asks");
        }
        Map<String, double[]> classes = new TreeMap<>();
        double objects = 0;
        if (byClass) {
            for (JsonObject.Member each : request("classes")) {
                JsonArray was = classesBefore.get(each.getName()) == null
                        ? Json.array(0, 0)
                        : classesBefore.get(each.getName()).asArray();
                JsonArray is = each.getValue().asArray();
                double more = is.get(0).asDouble() - was.get(0).asDouble();
                if (more / requests >= 0.01) {
                    objects += more / requests;
                    classes.put(each.getName(), new double[] {
                        more / requests, (is.get(1).asDouble() - was.get(1).asDouble()) / requests
                    });
                }
            }
        }
        double timers = classes.getOrDefault("io.netty.util.concurrent.ScheduledFutureTask", new double[2])[0];
        return new Costs(
                each(after, before, "allocated", requests),
                objects,
                each(after, before, "reads", requests),
                each(after, before, "writes", requests),
                each(after, before, "waits", requests),
                each(after, before, "tasks", requests),
                timers,
                each(after, before, "copied_out", requests),
                each(after, before, "cpu_ns", requests) / 1000,
                classes,
                report);
    }

    /** A count of the meter beside that of strace, an ask. */
    public record Check(String what, double meter, double strace) {}

    /** Counts over so many asks once more, with strace attached. Fails where strace is not there or may not attach. */
    public List<Check> verify(int requests) throws Exception {
        if (!Strace.isInstalled()) {
            throw new IOException("there is no strace on this machine");
        }
        try (Strace strace = new Strace(gateway.pid())) {
            Costs costs = measure(requests, false);
            Map<String, Long> calls = strace.stop();
            return List.of(
                    new Check("reads", costs.reads(), sum(calls, requests, "read", "readv", "recvfrom", "recvmsg")),
                    new Check("writes", costs.writes(), sum(calls, requests, "write", "writev", "sendto", "sendmsg")),
                    new Check("waits", costs.waits(), sum(calls, requests, "epoll_wait", "epoll_pwait")));
        }
    }

    private static double sum(Map<String, Long> calls, int requests, String... names) {
        double sum = 0;
        for (String each : names) {
            sum += calls.getOrDefault(each, 0L);
        }
        return sum / requests;
    }

    private static double each(JsonObject after, JsonObject before, String name, int requests) {
        return (after.getDouble(name, 0) - before.getDouble(name, 0)) / requests;
    }

    private JsonObject request(String command) throws IOException {
        commands.println(command);
        return Json.parse(line()).asObject();
    }

    private String line() throws IOException {
        String line = answers.readLine();
        if (line == null) {
            throw new IOException("the metered gateway has ended");
        }
        return line;
    }

    @Override
    public void close() {
        gateway.destroy();
        try {
            gateway.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        load.close();
        node.close();
        if (lockstep != null) {
            lockstep.close();
        }
    }
}
