import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * What the cases of the second review share: the record, the platform (starts the gateway with the deploy file's
 * command {@code run}), discovery, backends and the bytes of RESP2. Everything listens on 127.0.0.1 at free ports.
 */
final class Rig implements AutoCloseable {
    /** Ends a case that cannot run (exit code 2). */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String reason) {
            super(reason);
        }
    }

    /** A case: returns null if the rule held, or what broke it. */
    interface Case {
        String run(Rig rig, boolean trouble) throws Exception;
    }

    /** Runs a case: args are the folder of the case; the variable TROUBLE=0 leaves the disruption out. */
    static void main(String[] args, Case body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            try {
                rig.log("case starts, TROUBLE=" + (trouble ? 1 : 0));
                String broken = body.run(rig, trouble);
                rig.log(broken == null ? "RESULT: the rule held" : "RESULT: BROKEN: " + broken);
                System.out.println(broken == null ? "held" : "BROKEN: " + broken);
                code = broken == null ? 0 : 1;
            } catch (CannotRun e) {
                rig.log("RESULT: could not run: " + e.getMessage());
                System.out.println("could not run: " + e.getMessage());
            } catch (Exception e) {
                rig.log("RESULT: could not run: " + e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    final long startNanos = System.nanoTime();
    final Path root = Path.of("").toAbsolutePath();
    final Path temp;
    private final PrintWriter record;
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final List<ServerSocket> servers = new CopyOnWriteArrayList<>();

    private Rig(Path folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        temp = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** Milliseconds since the case began. */
    double nowMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Writes a line to record.txt. */
    synchronized void log(String line) {
        record.printf("%9.1f %s%n", nowMs(), line);
        record.flush();
    }

    static void pause(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The peer has closed the connection.
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    ServerSocket listen() throws IOException {
        ServerSocket server = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
        servers.add(server);
        return server;
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return probe.getLocalPort();
        }
    }

    // The platform.

    /** One process of the gateway. */
    final class Gateway {
        final Process process;
        final int port;
        final int consolePort;
        final Path config;
        final Path output;

        private Gateway(Process process, int port, int consolePort, Path config, Path output) {
            this.process = process;
            this.port = port;
            this.consolePort = consolePort;
            this.config = config;
            this.output = output;
        }

        void signal(String name) throws Exception {
            log("platform sends SIG" + name);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        }

        /** Sends one line to the operators' console and returns its answer, or null if there is none within 2 s. */
        String console(String call) throws IOException {
            try (Socket socket = new Socket("127.0.0.1", consolePort)) {
                socket.setSoTimeout(2000);
                socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
                ByteArrayOutputStream answer = new ByteArrayOutputStream();
                try {
                    socket.getInputStream().transferTo(answer);
                } catch (SocketTimeoutException e) {
                    return null;
                }
                return answer.toString(StandardCharsets.US_ASCII).strip();
            }
        }

        Connection connect() throws IOException {
            return new Connection(port, 0);
        }

        /** Connects with this size of the receive buffer. */
        Connection connect(int receiveBuffer) throws IOException {
            return new Connection(port, receiveBuffer);
        }
    }

    /** Starts the gateway and waits until it answers PING with +PONG. */
    Gateway startGateway(Discovery discovery, UnaryOperator<String> settings) throws Exception {
        int port = freePort();
        int consolePort = freePort();
        Path config = Files.writeString(
                Files.createTempFile(temp, "config", ".json"), config(port, consolePort, discovery, settings));
        Path output = Files.createTempFile(temp, "gateway", ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand())
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile());
        Map<String, String> environment = builder.environment();
        environment.put("GW_NAME", "n0");
        environment.put("GW_LISTEN", "127.0.0.1:" + port);
        environment.put("GW_CONSOLE", "127.0.0.1:" + consolePort);
        environment.put("GW_DISCOVERY", "127.0.0.1:" + discovery.port());
        environment.put("GW_CONFIG", config.toString());
        environment.put("TMPDIR", Files.createTempDirectory(temp, "tmp").toString());
        Process process = builder.start();
        processes.add(process);
        Gateway gateway = new Gateway(process, port, consolePort, config, output);
        for (double until = nowMs() + 30_000; nowMs() < until && process.isAlive(); pause(50)) {
            try (Connection connection = gateway.connect()) {
                connection.send("PING");
                if ("+PONG".equals(connection.readAnswer(1000))) {
                    log("gateway is ready, pid " + process.pid());
                    return gateway;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
        }
        throw new CannotRun("the gateway is not ready: " + Files.readString(output));
    }

    /** Starts another of the project's programs. */
    Process start(List<String> command) throws IOException {
        Process process = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(Files.createTempFile(temp, "program", ".log").toFile())
                .start();
        processes.add(process);
        return process;
    }

    private String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"')).replace("\\\"", "\"");
            }
        }
        throw new CannotRun("deploy/balancer.toml has no run");
    }

    static String config(int port, int consolePort, Discovery discovery, UnaryOperator<String> settings) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"console\":\"127.0.0.1:" + consolePort
                + "\",\"discovery\":\"127.0.0.1:" + discovery.port() + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"counter\":\"127.0.0.1:9\",\"known\":" + discovery.list(0) + ",\"settings\":"
                + settings.apply(SETTINGS) + "}";
    }

    /** The settings of a small deployment: those of the users' example, for one gateway. */
    static final String SETTINGS = "{\"balancers\":1,\"callers\":{\"marks_retry\":false},"
            + "\"ceilings\":{\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":400000,\"dial_timeout_ms\":250.0,"
            + "\"idle_close_ms\":30000.0,\"max_attempts\":6,\"max_open\":20000,\"max_retry_after_ms\":2000.0,"
            + "\"may_cancel\":true,\"may_probe\":false,\"multiplex\":100,\"peers\":false,\"retry_after\":true,"
            + "\"second_copies\":false},"
            + "\"costs\":{\"connection\":0.0,\"cross_zone\":0.01,\"discovery\":0.0,\"handshake\":0.0,"
            + "\"late_fail\":0.08,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.0,\"waste\":0.03},"
            + "\"discovery\":\"pushed\",\"feedback\":{\"columns\":[\"svc_ms\"],\"how\":\"inline\"},"
            + "\"flavors\":[\"std-3\"],"
            + "\"goal\":{\"whole\":0.55,\"worst_class\":0.0,\"worst_tenant\":0.25,\"worst_window\":0.2},"
            + "\"locality\":\"room-a\",\"me\":0,"
            + "\"obligations\":{\"answer_slack_ms\":8.0,\"ask_within_ms\":10000.0,\"cold_from\":0.17,"
            + "\"fall_ms\":3000.0,\"overload_factor\":2.5,\"stop_sending_within_ms\":1000.0,"
            + "\"warm_after_ms\":18000.0},"
            + "\"profiles\":["
            + "{\"aim_ms\":2000.0,\"deadline_ms\":4000.0,\"group\":\"all\",\"idempotency\":\"safe\","
            + "\"late_value\":0.0,\"name\":\"slot-status\",\"stream\":false,\"value\":2.0,\"window_ms\":5000.0},"
            + "{\"aim_ms\":2000.0,\"deadline_ms\":7500.0,\"group\":\"all\",\"idempotency\":\"safe\","
            + "\"late_value\":0.0,\"name\":\"battery-update\",\"stream\":false,\"value\":2.0,\"window_ms\":5000.0},"
            + "{\"aim_ms\":2000.0,\"deadline_ms\":7500.0,\"group\":\"cell\",\"idempotency\":\"keyed\","
            + "\"late_value\":0.0,\"name\":\"swap-record\",\"stream\":false,\"value\":6.0,\"window_ms\":4000.0}],"
            + "\"service_type\":\"gate\","
            + "\"specifics\":{\"cost_after\":true,\"count_fee\":0.02,\"counter\":true,\"counter_timeout_ms\":30.0,"
            + "\"inbox_per_s\":0.0,\"largest\":8,\"meter_period_ms\":2000.0},"
            + "\"stage\":0,\"tick_ms\":2.0,\"tiers\":[\"swap-app\"],"
            + "\"tiers_of_service\":["
            + "{\"cap_rate\":0.0,\"excess_worth\":0.0,\"hard_burst\":0.0,\"max_out\":0,\"name\":\"start\","
            + "\"overrun_cost\":0.6,\"peak_units\":16.0,\"quota_rate\":1.7,\"tolerance\":0.0,\"value_factor\":0.5},"
            + "{\"cap_rate\":0.0,\"excess_worth\":0.1,\"hard_burst\":0.0,\"max_out\":0,\"name\":\"flotte\","
            + "\"overrun_cost\":0.0,\"peak_units\":51.0,\"quota_rate\":19.0,\"tolerance\":0.0,"
            + "\"value_factor\":1.6}],"
            + "\"weights\":\"nominal\",\"zones\":[\"room-a\",\"room-b\",\"room-c\"]}";

    private void endProcesses() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (ServerSocket server : servers) {
            server.close();
        }
        try (var files = Files.walk(temp)) {
            files.sorted((first, second) -> second.compareTo(first)).map(Path::toFile).forEach(File::delete);
        }
        record.close();
    }

    // Discovery.

    /** Discovery's agent: the whole list, and watches that end with the changed entries. */
    final class Discovery {
        private final ServerSocket server;
        private final Map<String, String> lines = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new LinkedHashMap<>();
        private long index = 41;

        Discovery() throws IOException {
            server = listen();
            daemon(() -> {
                while (true) {
                    Socket socket = server.accept();
                    daemon(() -> serve(socket));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        /** Lists a backend, or changes its line. */
        synchronized void put(String name, int port, int group, String status) {
            lines.put(
                    name,
                    "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"room-a\","
                            + "\"type\":\"std-3\",\"group\":" + group + ",\"status\":\"" + status
                            + "\",\"weight\":1.0,\"since_ms\":0}");
            changedAt.put(name, ++index);
            log("discovery lists " + name + " as " + status);
            notifyAll();
        }

        synchronized String list(long since) {
            List<String> changed = new ArrayList<>();
            lines.forEach((name, line) -> {
                if (changedAt.get(name) > since) {
                    changed.add(line);
                }
            });
            return "{\"index\":" + index + ",\"snapshot\":" + (since == 0) + ",\"endpoints\":["
                    + String.join(",", changed) + "]}";
        }

        private synchronized void await(long since, long ms) throws InterruptedException {
            long until = System.nanoTime() + ms * 1_000_000;
            while (index <= since && until - System.nanoTime() > 0) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    String request = readLine(in);
                    while (!readLine(in).isEmpty()) {
                        // A header.
                    }
                    long since = parameter(request, "since=");
                    if (since > 0) {
                        await(since, parameter(request, "timeout_ms="));
                    }
                    byte[] body = list(since).getBytes(StandardCharsets.UTF_8);
                    socket.getOutputStream()
                            .write(join(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                                    + body.length + "\r\n\r\n")
                                            .getBytes(StandardCharsets.US_ASCII), body));
                }
            }
        }

        private static long parameter(String request, String name) {
            int at = request.indexOf(name);
            if (at < 0) {
                return 0;
            }
            int end = at + name.length();
            while (end < request.length() && Character.isDigit(request.charAt(end))) {
                end++;
            }
            return Long.parseLong(request.substring(at + name.length(), end));
        }
    }

    // Backends.

    /** Answers one command of a gateway; a connection is served in order. */
    interface Handler {
        void handle(List<byte[]> command, Socket socket) throws Exception;
    }

    /** A backend. */
    final class Backend {
        final String name;
        private final ServerSocket server;

        Backend(String name, Handler handler) throws IOException {
            this.name = name;
            server = listen();
            daemon(() -> {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> {
                        try (socket) {
                            InputStream in = new BufferedInputStream(socket.getInputStream());
                            for (List<byte[]> command = readCommand(in); command != null; command = readCommand(in)) {
                                handler.handle(command, socket);
                            }
                        }
                    });
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }
    }

    // RESP2.

    /** A client's connection. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Connection(int port, int receiveBuffer) throws IOException {
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            in = receiveBuffer > 0 ? socket.getInputStream() : new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String... words) throws IOException {
            out.write(command(words));
        }

        /** Returns the next answer: its line, or "value " and the text of a bulk string. */
        String readAnswer(int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            String line = readLine(in);
            if (!line.startsWith("$") || line.equals("$-1")) {
                return line;
            }
            byte[] value = in.readNBytes(Integer.parseInt(line.substring(1)) + 2);
            if (value.length < Integer.parseInt(line.substring(1)) + 2) {
                throw new EOFException("end within a value");
            }
            return "value " + new String(value, 0, value.length - 2, StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A request of a client; the body is for SVC.SUBMIT alone. */
    static byte[] query(long customer, String id, String requestClass, int waitMs) {
        return command("SVC.QUERY", String.format("%016x", customer), id, "c=" + requestClass + ",t=flotte,d=" + waitMs
                + ",units=1,spread=1,first=0");
    }

    static byte[] submit(long customer, String id, int waitMs, String body) {
        return command("SVC.SUBMIT", String.format("%016x", customer), id, "c=swap-record,t=flotte,d=" + waitMs + ",k="
                + id + ",units=1,spread=1,first=0", body);
    }

    static byte[] command(String... words) {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A served reply of a backend: the value, no figures on use, no load report. */
    static byte[] served(String value) {
        return ("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    static String text(byte[] word) {
        return new String(word, StandardCharsets.ISO_8859_1);
    }

    static byte[] join(byte[] first, byte[] second) {
        byte[] all = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("end of the connection");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    /** Reads one command; null at the end of the connection. */
    static List<byte[]> readCommand(InputStream in) throws IOException {
        String line;
        try {
            line = readLine(in);
        } catch (EOFException e) {
            return null;
        }
        List<byte[]> words = new ArrayList<>();
        for (int count = Integer.parseInt(line.substring(1)); count > 0; count--) {
            int length = Integer.parseInt(readLine(in).substring(1));
            byte[] word = in.readNBytes(length);
            in.readNBytes(2);
            if (word.length < length) {
                return null;
            }
            words.add(word);
        }
        return words;
    }

    /** Returns a request id that no other call returns in this run. */
    synchronized String newId() {
        return String.format("%016x", 0x5a00_0000_0000_0000L + ++lastId);
    }

    private long lastId = System.nanoTime() & 0xffffffL;
}
