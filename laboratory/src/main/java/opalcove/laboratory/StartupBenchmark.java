package opalcove.laboratory;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import opalcove.config.Backend;
import opalcove.config.EndpointCodec;
import opalcove.config.JsonFields;

/**
 * Starts many gateways at once, as after the loss of a machine, and measures how long each takes to its first answer to a
 * PING. Discovery is away all the while: it answers no call before all gateways are ready, and none after. Each gateway
 * has a known list in its configuration, whose backends are one stand-in.
 */
public final class StartupBenchmark implements AutoCloseable {
    /** In which way discovery is away, which is also how the gateways come by their list. */
    public enum Outage {
        /** Lists are pushed by an agent: it takes connections and says nothing. */
        SILENT("pushed"),
        /** One service is asked for lists: it refuses connections. */
        REFUSED("on_request");

        private final String discovery;

        Outage(String discovery) {
            this.discovery = discovery;
        }
    }

    /**
     * One gateway's start: the time from the process's start to the answer to a PING, ms; the processor time used until
     * then, ms; and the start's phases as the gateway itself tells them in its log.
     */
    public record Start(double readyMs, double processorMs, String phases) {}

    private static final int BACKENDS = 60;
    /** Asks to each gateway that show that it has its backends. */
    private static final int REQUESTS = 4;

    private static final int PING_EVERY_MS = 20;
    private static final int TIMEOUT_S = 180;
    private static final byte[] PING = "*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final String PONG = "+PONG\r\n";

    private final Path folder = Files.createTempDirectory("starts");
    private final BackendEmulator backend = new BackendEmulator(16, 1);
    private final List<Process> processes = new ArrayList<>();
    private final List<Socket> reserved = new ArrayList<>();
    private final List<Socket> calls = new ArrayList<>();
    private final List<String> command;
    private final Outage outage;
    private ServerSocket silent;

    /** The command starts one gateway, which is to read its configuration from the file that GW_CONFIG names. */
    public StartupBenchmark(List<String> command, Outage outage) throws IOException, InterruptedException {
        this.command = List.copyOf(command);
        this.outage = outage;
    }

    /** Starts that many gateways at once; done when each has answered a PING and served asks by its known list. */
    public List<Start> run(int gateways) throws Exception {
        String discovery = "127.0.0.1:" + openDiscovery();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            ports.add(reservePort());
            Files.writeString(config(i), configuration(i, ports.get(i), discovery));
        }
        ExecutorService watchers = Executors.newFixedThreadPool(gateways);
        try {
            List<Future<Start>> starts = new ArrayList<>();
            for (int i = 0; i < gateways; i++) {
                long startedAt = System.nanoTime();
                Process process = start(i);
                int number = i;
                starts.add(watchers.submit(() -> awaitReady(number, process, ports.get(number), startedAt)));
            }
            List<Start> all = new ArrayList<>();
            for (int i = 0; i < gateways; i++) {
                Start start = starts.get(i).get(TIMEOUT_S, TimeUnit.SECONDS);
                needServed(ports.get(i));
                // Only now is it sure that the phases have been written, too.
                all.add(new Start(start.readyMs(), start.processorMs(), phases(i)));
            }
            return all;
        } finally {
            watchers.shutdownNow();
        }
    }

    /** A port at which discovery is away. */
    private int openDiscovery() throws IOException {
        if (outage == Outage.REFUSED) {
            return reservePort();
        }
        silent = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Thread accepting = new Thread(this::acceptSilently, "silent-discovery");
        accepting.setDaemon(true);
        accepting.start();
        return silent.getLocalPort();
    }

    private void acceptSilently() {
        try {
            while (true) {
                Socket call = silent.accept();
                synchronized (calls) {
                    calls.add(call);
                }
            }
        } catch (IOException closed) {
            // The run is over.
        }
    }

    /**
     * A port that nobody else is given. The socket is bound and does not listen, so connections are refused until a
     * gateway listens there, which may by SO_REUSEPORT.
     */
    private int reservePort() throws IOException {
        Socket holder = new Socket();
        reserved.add(holder);
        holder.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return holder.getLocalPort();
    }

    private Path config(int number) {
        return folder.resolve("gateway-" + number + ".json");
    }

    private Path log(int number) {
        return folder.resolve("gateway-" + number + ".log");
    }

    private String configuration(int number, int port, String discovery) {
        List<Backend> known = EndpointCodec.read(JsonFields.parse(ComparisonBenchmark.list(backend.port(), BACKENDS))
                .objects("endpoints"));
        JsonObject settings = Json.parse(Laboratory.settingsText()).asObject().set("discovery", outage.discovery);
        return Json.object()
                .add("name", "gateway-" + number)
                .add("listen", "127.0.0.1:" + port)
                .add("discovery", discovery)
                .add("known", EndpointCodec.write(1, true, known))
                .add("settings", settings)
                .toString();
    }

    private Process start(int number) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log(number).toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("GW_"));
        builder.environment().put("GW_CONFIG", config(number).toString());
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    private Start awaitReady(int number, Process process, int port, long startedAt)
            throws IOException, InterruptedException {
        while (!answersPing(port)) {
            if (!process.isAlive()) {
                throw new IOException("gateway " + number + " ended:\n" + Files.readString(log(number)));
            }
            Thread.sleep(PING_EVERY_MS);
        }
        double readyMs = (System.nanoTime() - startedAt) / 1e6;
        return new Start(readyMs, ComparisonBenchmark.cpuUs(process) / 1000, "");
    }

    private static boolean answersPing(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(PING);
            byte[] answer = socket.getInputStream().readNBytes(PONG.length());
            return new String(answer, StandardCharsets.US_ASCII).equals(PONG);
        } catch (IOException notYet) {
            return false;
        }
    }

    /** The line on the start's phases, or nothing where the program does not tell them. */
    private String phases(int number) throws IOException {
        return Files.readAllLines(log(number)).stream()
                .filter(line -> line.contains("started in "))
                .map(line -> line.substring(line.indexOf("started in ")))
                .findFirst()
                .orElse("");
    }

    private static void needServed(int port) throws Exception {
        LoadPlan plan = new LoadPlan(false, "127.0.0.1", port, 1, 1, 0, REQUESTS, 1, 0, 0, 7500);
        try (Load load = new Load(plan, line -> {})) {
            LoadReport report = load.run(REQUESTS);
            if (report.served() != REQUESTS) {
                throw new IllegalStateException("not all asks were served by the known list\n" + report.table());
            }
        }
    }

    /** Kills all gateways and ends the stand-ins. */
    @Override
    public void close() throws IOException {
        for (Process each : processes) {
            each.destroyForcibly();
        }
        for (Process each : processes) {
            each.onExit().join();
        }
        if (silent != null) {
            silent.close();
        }
        for (Socket each : reserved) {
            each.close();
        }
        synchronized (calls) {
            for (Socket each : calls) {
                each.close();
            }
        }
        backend.close();
        try (var files = Files.list(folder)) {
            for (Path each : files.toList()) {
                Files.delete(each);
            }
        }
        Files.delete(folder);
    }
}
