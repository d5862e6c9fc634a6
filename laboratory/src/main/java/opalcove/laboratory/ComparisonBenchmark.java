package opalcove.laboratory;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs programs against the same app node and load, in turns, so that what the machine does meanwhile strikes all alike:
 * processor time an ask, from the process's own clock, and the time from the start to the first PONG.
 */
public final class ComparisonBenchmark {
    private static final int TIMEOUT_S = 60;

    /** A program's figures, a run each. */
    public record Runs(String name, List<Double> cpuUs, List<Double> startMs, List<Double> memoryMb) {
        /** The median; the mean of the two middle ones where the count is even. */
        public static double median(List<Double> figures) {
            double[] sorted =
                    figures.stream().mapToDouble(Double::doubleValue).sorted().toArray();
            int half = sorted.length / 2;
            return sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
        }
    }

    /** The programs' commands; one that is "relay" is the {@link Relay}. */
    private final List<String> commands;

    private final LoadPlan plan;
    private final Meter.Nodes nodes;
    private final int warm;

    /**
     * Compares two programs under the same load, in turn.
     *
     * @param warm requests before each measurement
     */
    public ComparisonBenchmark(List<String> commands, LoadPlan plan, Meter.Nodes nodes, int warm) {
        this.commands = commands;
        this.plan = plan;
        this.nodes = nodes;
        this.warm = warm;
    }

    /** Plays that many rounds, in each all programs once, the first one first in even rounds and last in odd ones. */
    public List<Runs> run(int rounds, Consumer<String> progress) throws Exception {
        List<Runs> all = new ArrayList<>();
        commands.forEach(each -> all.add(new Runs(each, new ArrayList<>(), new ArrayList<>(), new ArrayList<>())));
        Vertx vertx = Vertx.vertx();
        try (BackendEmulator node = new BackendEmulator(nodes.valueBytes(), nodes.workMs())) {
            HttpServer discovery = vertx.createHttpServer()
                    .requestHandler(request -> {
                        if (request.uri().contains("since=")) {
                            vertx.setTimer(10_000, due -> request.response()
                                    .end("{\"index\":1,\"snapshot\":false,\"endpoints\":[]}"));
                        } else {
                            request.response().end(list(node.port(), nodes.number()));
                        }
                    })
                    .listen(0, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(TIMEOUT_S, TimeUnit.SECONDS);
            for (int round = 0; round < rounds; round++) {
                for (int k = 0; k < all.size(); k++) {
                    Runs runs = all.get(round % 2 == 0 ? k : all.size() - 1 - k);
                    progress.accept("round " + (round + 1) + " of " + rounds + ": " + runs.name());
                    one(runs, node.port(), discovery.actualPort());
                }
            }
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
        }
        return all;
    }

    /** A whole list of so many names of the node at that port, in discovery's form. */
    static String list(int nodePort, int number) {
        StringBuilder list = new StringBuilder("{\"index\":1,\"snapshot\":true,\"endpoints\":[");
        for (int i = 0; i < number; i++) {
            list.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"node-")
                    .append(i)
                    .append("\",\"address\":\"127.0.0.1:")
                    .append(nodePort)
                    .append("\",\"zone\":\"room-a\",\"type\":\"std-3\",\"group\":")
                    .append(i)
                    .append(",\"status\":\"up\",\"weight\":1.0,\"since_ms\":0}");
        }
        return list.append("]}").toString();
    }

    private void one(Runs runs, int nodePort, int discovery) throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Path config = Files.createTempFile("pair", ".json");
        try {
            Files.writeString(
                    config,
                    "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                            + discovery + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":4096},\"settings\":"
                            + Laboratory.settingsText() + "}");
            List<String> command = runs.name().equals("relay")
                    ? List.of(
                            Meter.java(),
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-Xmx48m",
                            "-cp",
                            System.getProperty("java.class.path"),
                            Relay.class.getName(),
                            Integer.toString(port),
                            Integer.toString(nodePort))
                    : Arrays.asList(runs.name().trim().split("\\s+"));
            ProcessBuilder builder = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD);
            builder.environment().put("GW_CONFIG", config.toString());
            long startedAt = System.nanoTime();
            Process program = builder.start();
            try {
                awaitPort(program, port, runs.name().equals("relay"));
                runs.startMs().add((System.nanoTime() - startedAt) / 1e6);
                try (Load load = new Load(plan.withPort(port), line -> {})) {
                    load.run(warm);
                    double before = cpuUs(program);
                    LoadReport report = load.run(plan.requests());
                    if (report.served() != plan.requests()) {
                        throw new IllegalStateException(runs.name() + ": not all asks were served\n" + report.table());
                    }
                    runs.cpuUs().add((cpuUs(program) - before) / plan.requests());
                    runs.memoryMb().add(memoryMb(program));
                }
            } finally {
                program.destroy();
                if (!program.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) {
                    program.destroyForcibly();
                }
            }
        } finally {
            Files.delete(config);
        }
    }

    /** Waits for the answer to a PING, or, of a relay, for its port alone. */
    private static void awaitPort(Process program, int port, boolean relay) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (System.nanoTime() < until && program.isAlive()) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                if (relay) {
                    return;
                }
                socket.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
                if (new String(socket.getInputStream().readNBytes(7), StandardCharsets.US_ASCII).equals("+PONG\r\n")) {
                    return;
                }
            } catch (IOException notYet) {
                Thread.sleep(5);
            }
        }
        throw new IOException("the program does not serve");
    }

    /** The processor time that the process has used so far, us. */
    static double cpuUs(Process program) {
        return program.toHandle().info().totalCpuDuration().orElseThrow().toNanos() / 1000.0;
    }

    /** The process's resident memory, where the system tells it; else 0. */
    private static double memoryMb(Process program) throws IOException {
        Path status = Path.of("/proc", Long.toString(program.pid()), "status");
        if (!Files.exists(status)) {
            return 0;
        }
        return Files.readAllLines(status).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D", "")) / 1024)
                .findFirst()
                .orElse(0);
    }
}
