import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What the review cases share: the record, the gateway process (started by the deploy file's run command), a discovery
 * stand-in, backend stand-ins and a RESP2 client. Everything is on loopback and on free ports.
 */
final class Rig implements AutoCloseable {
    static final String HOST = "127.0.0.1";

    final Path root;
    final Path temp;
    final List<Backend> backends = new ArrayList<>();
    final Discovery discovery;
    private final BufferedWriter record;
    private final long startNanos = System.nanoTime();
    private boolean isClosed;
    private Process gateway;
    int listenPort;
    int consolePort;

    Rig(Path root, Path recordFile) throws IOException {
        this.root = root;
        temp = Files.createTempDirectory("opalcove-review");
        record = Files.newBufferedWriter(recordFile);
        discovery = new Discovery();
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes a line to the record. */
    void log(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, "%7d ms  ", nowMs())
                + (arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments));
        synchronized (record) {
            if (isClosed) {
                return;
            }
            try {
                record.write(line);
                record.newLine();
                record.flush();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    /** Adds a backend with this behaviour to the list. */
    Backend addBackend(String name, String zone, int cell, Behaviour behaviour) throws IOException {
        Backend backend = new Backend(name, zone, cell, behaviour);
        backends.add(backend);
        return backend;
    }

    // The gateway.

    /** The value of a key of the deploy file, whose strings have no escapes but \" and \\. */
    private String deployKey(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return text.replace("\\\"", "\"").replace("\\\\", "\\");
            }
        }
        throw new IOException("no key " + key + " in the deploy file");
    }

    /** Starts the gateway and waits until its console says that it takes clients. */
    void startGateway(String settings, int sockets) throws Exception {
        listenPort = freePort();
        consolePort = freePort();
        Path config = temp.resolve("config.json");
        Files.writeString(config, configText(settings, sockets));
        Path tmpdir = Files.createDirectory(temp.resolve("tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployKey("run"))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(temp.resolve("gateway.log").toFile())
                .redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
        builder.environment().put("GW_NAME", "n0");
        builder.environment().put("GW_LISTEN", HOST + ":" + listenPort);
        builder.environment().put("GW_CONSOLE", HOST + ":" + consolePort);
        builder.environment().put("GW_DISCOVERY", discovery.address());
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("TMPDIR", tmpdir.toString());
        gateway = builder.start();
        log("gateway started with the deploy file's run command, listens at %s:%d", HOST, listenPort);
        long deadline = nowMs() + 30_000;
        while (!console("READY").startsWith("+OK")) {
            if (!gateway.isAlive() || nowMs() > deadline) {
                throw new IOException("the gateway did not get ready");
            }
            Thread.sleep(100);
        }
        log("gateway is ready");
    }

    private String configText(String settings, int sockets) {
        return "{\"name\":\"n0\",\"listen\":\"" + HOST + ":" + listenPort + "\",\"discovery\":\"" + discovery.address()
                + "\",\"console\":\"" + HOST + ":" + consolePort
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                + "},\"known\":{\"index\":1,\"snapshot\":true,\"endpoints\":[]},\"settings\":" + settings + "}";
    }

    boolean gatewayRuns() {
        return gateway != null && gateway.isAlive();
    }

    int gatewayExit() {
        return gateway.exitValue();
    }

    ProcessHandle gatewayHandle() {
        return gateway.toHandle();
    }

    /** One call of the console; empty if there was no answer. */
    String console(String call) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, consolePort), 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "";
        }
    }

    /** Copies the gateway's log to the record. */
    void logGatewayLog(int maxLines) throws IOException {
        Path log = temp.resolve("gateway.log");
        if (!Files.exists(log)) {
            return;
        }
        List<String> lines = Files.readAllLines(log);
        log("the gateway's log, last %d of %d lines:", Math.min(maxLines, lines.size()), lines.size());
        for (String line : lines.subList(Math.max(0, lines.size() - maxLines), lines.size())) {
            log("  | %s", line);
        }
    }

    /** Ends the gateway that this rig started. */
    void killGateway() {
        if (gateway == null) {
            return;
        }
        gateway.descendants().forEach(ProcessHandle::destroyForcibly);
        gateway.destroyForcibly();
        try {
            gateway.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        killGateway();
        synchronized (record) {
            record.close();
            isClosed = true;
        }
        try (var files = Files.walk(temp)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        }
    }

    // Settings.

    /** The settings of the example deployment, three gateways, of which this is the first. */
    static String settings(String swapRecordEffect, String group) {
        return "{\"me\":0,\"balancers\":3,\"locality\":\"room-a\",\"zones\":[\"room-a\",\"room-b\",\"room-c\"],"
                + "\"tick_ms\":2.0,\"discovery\":\"pushed\",\"weights\":\"nominal\","
                + "\"specifics\":{\"cost_after\":true,\"counter\":true,\"counter_timeout_ms\":30.0,"
                + "\"meter_period_ms\":2000.0,\"largest\":8},"
                + "\"ceilings\":{\"max_attempts\":6,\"second_copies\":false,\"may_cancel\":true,\"may_probe\":false,"
                + "\"retry_after\":true,\"max_retry_after_ms\":2000.0,\"idle_close_ms\":30000.0,"
                + "\"dial_timeout_ms\":250.0,\"max_open\":20000,\"multiplex\":100},"
                + "\"costs\":{\"cross_zone\":0.01,\"late_fail\":0.08,\"waste\":0.03},"
                + "\"feedback\":{\"how\":\"inline\",\"columns\":[\"svc_ms\"]},"
                + "\"obligations\":{\"answer_slack_ms\":8.0,\"ask_within_ms\":10000.0,\"cold_from\":0.17,"
                + "\"warm_after_ms\":18000.0,\"overload_factor\":2.5,\"fall_ms\":3000.0,"
                + "\"stop_sending_within_ms\":1000.0},"
                + "\"profiles\":["
                + profile("slot-status", 2, 4000, "safe", "all", 5000) + ","
                + profile("battery-update", 2, 7500, "safe", "all", 5000) + ","
                + profile("swap-record", 6, 7500, swapRecordEffect, group, 4000) + "],"
                + "\"tiers_of_service\":["
                + "{\"name\":\"plus\",\"quota_rate\":6.9,\"peak_units\":27.0,\"value_factor\":1.2,\"overrun_cost\":0.5},"
                + "{\"name\":\"flotte\",\"quota_rate\":19.0,\"peak_units\":51.0,\"value_factor\":1.6,"
                + "\"excess_worth\":0.1}]}";
    }

    private static String profile(String name, int value, int deadlineMs, String effect, String group, int windowMs) {
        return "{\"name\":\"" + name + "\",\"value\":" + value + ".0,\"aim_ms\":2000.0,\"deadline_ms\":" + deadlineMs
                + ".0,\"idempotency\":\"" + effect + "\",\"group\":\"" + group + "\",\"window_ms\":" + windowMs
                + ".0,\"late_value\":0.0,\"stream\":false}";
    }

    // Discovery.

    /** Discovery as the protocol page describes it: the whole list, and watches that wait for a newer version. */
    final class Discovery {
        private final ServerSocket server = listen();
        private int index = 1;

        Discovery() throws IOException {
            accept(server, this::serve);
        }

        String address() {
            return HOST + ":" + server.getLocalPort();
        }

        private String list() {
            StringBuilder list = new StringBuilder();
            for (Backend each : backends) {
                list.append(list.length() == 0 ? "" : ",").append(each.listEntry());
            }
            return list.toString();
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String request = readLine(in);
                while (!readLine(in).isEmpty()) {
                    // A header.
                }
                boolean watch = request.contains("since=");
                if (watch) {
                    pause(Math.min(60_000, number(request, "timeout_ms=")));
                }
                byte[] body = ("{\"index\":" + index + ",\"snapshot\":" + !watch + ",\"endpoints\":["
                                + (watch ? "" : list()) + "]}")
                        .getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.UTF_8));
                out.write(body);
                out.flush();
            }
        }
    }

    // Backends.

    /** A command that a backend has received whole. */
    record Command(Backend backend, Socket socket, InputStream in, OutputStream out, List<byte[]> words) {
        String word(int i) {
            return new String(words.get(i), StandardCharsets.ISO_8859_1);
        }

        String id() {
            return word(2);
        }

        /** Waits, and returns at once when the gateway closes the connection. Returns whether it is still open. */
        boolean waitWhileOpen(int ms) throws IOException {
            socket.setSoTimeout(ms);
            try {
                if (in.read() < 0) {
                    return false;
                }
                throw new IOException("the gateway sent a second command before the answer to the first");
            } catch (SocketTimeoutException e) {
                return true;
            } catch (SocketException e) {
                return false;
            } finally {
                if (!socket.isClosed()) {
                    socket.setSoTimeout(0);
                }
            }
        }

        /** Writes these bytes as they are. */
        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    /** How a backend serves a command. Called on the connection's thread, one command after another. */
    interface Behaviour {
        void serve(Command command) throws IOException;
    }

    final class Backend {
        final String name;
        private final String zone;
        private final int cell;
        private final ServerSocket server = listen();
        final AtomicLong received = new AtomicLong();
        final AtomicLong connections = new AtomicLong();

        Backend(String name, String zone, int cell, Behaviour behaviour) throws IOException {
            this.name = name;
            this.zone = zone;
            this.cell = cell;
            accept(server, socket -> {
                connections.incrementAndGet();
                InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
                while (true) {
                    List<byte[]> words = readCommand(in);
                    received.incrementAndGet();
                    behaviour.serve(new Command(this, socket, in, socket.getOutputStream(), words));
                }
            });
        }

        String listEntry() {
            return "{\"name\":\"" + name + "\",\"address\":\"" + HOST + ":" + server.getLocalPort() + "\",\"zone\":\""
                    + zone + "\",\"type\":\"std-3\",\"group\":" + cell
                    + ",\"status\":\"up\",\"weight\":1.0,\"since_ms\":0}";
        }
    }

    /** A backend's answer with the value, the figures on use and the load report. */
    static String answer(String value) {
        return "*3\r\n$" + value.length() + "\r\n" + value + "\r\n$14\r\nused=12,cost=1\r\n$9\r\nsvc_ms=10\r\n";
    }

    // Clients.

    private static final AtomicLong IDS = new AtomicLong(0x1000);

    static String newId() {
        return String.format("%016x", 0x9b1f03aa00000000L + IDS.incrementAndGet());
    }

    static String tenant(int number) {
        return String.format("%016x", 0xb4d60000L + number);
    }

    static byte[] query(String id, String tenant, String requestClass, String plan, int waitMs) {
        return command("SVC.QUERY", tenant, id,
                "c=" + requestClass + ",t=" + plan + ",d=" + waitMs + ",units=1,spread=3,first=0");
    }

    static byte[] submit(String id, String tenant, String plan, int waitMs, boolean keyed, String body) {
        return command("SVC.SUBMIT", tenant, id,
                "c=swap-record,t=" + plan + ",d=" + waitMs + (keyed ? ",k=" + id : "") + ",units=1,spread=3,first=0",
                body);
    }

    static byte[] command(String... words) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(("*" + words.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (String word : words) {
            bytes.writeBytes(("$" + word.length() + "\r\n" + word + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
        return bytes.toByteArray();
    }

    /** A client connection. */
    final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;

        Client() throws IOException {
            this(0);
        }

        Client(int receiveBuffer) throws IOException {
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(new InetSocketAddress(HOST, listenPort), 2000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
        }

        void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /**
         * Reads one answer: its value if served, else the line. Throws if the connection ends or the time is over
         * before the answer is whole.
         */
        String read(int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            String line = readLine(in);
            if (line.startsWith("$")) {
                int length = Integer.parseInt(line.substring(1));
                String value = length < 0 ? "" : new String(readExactly(in, length), StandardCharsets.ISO_8859_1);
                if (length >= 0) {
                    readLine(in);
                }
                return value;
            }
            return line;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // Bytes.

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 512, InetAddress.getByName(HOST));
    }

    interface ConnectionHandler {
        void handle(Socket socket) throws IOException;
    }

    static void accept(ServerSocket server, ConnectionHandler handler) {
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> {
                    try (socket) {
                        handler.handle(socket);
                    }
                });
            }
        });
    }

    interface IoTask {
        void run() throws IOException;
    }

    static Thread daemon(IoTask task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException e) {
                // The peer has closed the connection.
            }
        }, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            line.append((char) next);
        }
        int end = line.length();
        return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended within a value");
        }
        return bytes;
    }

    static List<byte[]> readCommand(InputStream in) throws IOException {
        int count = Integer.parseInt(readLine(in).substring(1));
        List<byte[]> words = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            words.add(readExactly(in, Integer.parseInt(readLine(in).substring(1))));
            readLine(in);
        }
        return words;
    }

    static long number(String text, String key) {
        int from = text.indexOf(key) + key.length();
        int to = from;
        while (to < text.length() && Character.isDigit(text.charAt(to))) {
            to++;
        }
        return from < key.length() || to == from ? 0 : Long.parseLong(text.substring(from, to));
    }
}
