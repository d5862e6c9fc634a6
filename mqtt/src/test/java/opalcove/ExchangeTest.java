package opalcove;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import opalcove.backend.ConnectionPool;
import opalcove.backend.Connector;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.config.HostAndPort;
import opalcove.core.RequestDispatcher;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import opalcove.discovery.DiscoveryClient;
import opalcove.lifecycle.Lifecycle;
import opalcove.mqtt.MqttConnector;
import opalcove.mqtt.MqttRequestServer;
import opalcove.resp.RespConnector;
import opalcove.resp.RespServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replays the recorded byte exchanges in mqtt/src/test/resources/exchanges against both servers and both kinds of backend
 * connections, which share one dispatcher. A line is one of:
 *
 * <ul>
 *   <li>{@code PARTY > bytes}: the party sends the bytes at once; {@code PARTY >> bytes}: it sends them one by one; {@code PARTY
 *       close}: it closes its connection
 *   <li>{@code PARTY < bytes}: the party receives exactly these bytes; {n} matches digits, {any} matches any bytes
 *   <li>{@code PARTY closed}: the connection of the party is closed by the gateway
 *   <li>{@code list BACKEND STATE POD ...}: the endpoints change; {@code node BACKEND refuses}: its port is closed, so that
 *       connections to it are refused
 *   <li>{@code discovery}: the gateway starts a discovery client for a list that an agent pushes; {@code discovery asked}: for
 *       a list that it polls
 *   <li>{@code stall MS}: blocks the event loop for this time in ms
 *   <li>{@code counters A=1 B=2}: waits until the counters have these values
 *   <li>{@code phase NAME}: enters this phase of the lifecycle and drains; {@code stopped}: waits until the servers have drained
 * </ul>
 *
 * <p>A party is {@code client/1}, {@code mqtt-client/1} or, for the first connection to a backend, {@code n1/1}; backends whose
 * names begin with m are MQTT servers. The bytes of MQTT parties are in the format of {@link MqttText}.
 */
public class ExchangeTest {
    private static final int TIMEOUT_MS = 10_000;
    private static final Path FOLDER = Path.of("mqtt/src/test/resources/exchanges");

    @DataProvider
    public Object[][] exchanges() throws IOException {
        try (Stream<Path> files = Files.list(FOLDER)) {
            return files.sorted()
                    .map(file -> new Object[] {file.getFileName().toString()})
                    .toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "exchanges")
    public void repliesAsRecorded(String file) throws Exception {
        try (ExchangeRunner runner = new ExchangeRunner()) {
            int number = 0;
            for (String line : Files.readAllLines(FOLDER.resolve(file))) {
                number++;
                if (!line.isBlank() && !line.startsWith("#")) {
                    try {
                        runner.execute(line);
                    } catch (IOException | AssertionError e) {
                        throw new AssertionError(file + ":" + number + " " + line + ": " + e.getMessage(), e);
                    }
                }
            }
        }
    }

    /** Checks that no buffer was leaked in any exchange, including those with closed and broken connections. */
    @AfterClass
    public void releasesAllBuffers() {
        assertEquals(LeakCounter.countLeaks(), 0);
    }

    /** Runs a dispatcher with its servers, and the clients and backends that take part in an exchange. */
    private static final class ExchangeRunner implements AutoCloseable {
        /** One event loop as in the program, so that a stall blocks all connections. */
        private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

        private final CompletableFuture<Integer> stallPort = new CompletableFuture<>();
        private final SynchronousQueue<Integer> stalls = new SynchronousQueue<>();
        private final Lifecycle lifecycle = new Lifecycle();
        private final Map<String, ServerSocket> backends = new HashMap<>();
        private final Map<String, Socket> parties = new HashMap<>();
        private final Map<String, String> unread = new HashMap<>();
        private final Map<String, MqttText> packets = new HashMap<>();
        private final CompletableFuture<Integer> port = new CompletableFuture<>();
        private final CompletableFuture<Integer> mqttPort = new CompletableFuture<>();
        private final CompletableFuture<Void> stopped = new CompletableFuture<>();
        private final HostAndPort discovery;
        private RequestDispatcher dispatcher;
        private RespServer respServer;
        private MqttRequestServer mqttServer;
        private boolean hasCompleteList;

        ExchangeRunner() throws Exception {
            discovery = new HostAndPort("127.0.0.1", backend("discovery").getLocalPort());
            onLoop(() -> {
                DecisionSettings settings = TestSettings.settings();
                Connector resp = new RespConnector(vertx, settings);
                Connector mqtt = new MqttConnector(vertx, settings, "gateway");
                Clock clock = new Clock();
                dispatcher = new RequestDispatcher(
                        vertx,
                        clock,
                        settings,
                        7,
                        new ConnectionPool(
                                vertx,
                                settings,
                                address -> (address.startsWith(MqttConnector.SCHEME) ? mqtt : resp).connect(address),
                                50));
                mqttServer = new MqttRequestServer(vertx, dispatcher, lifecycle, clock, 50);
                mqttServer.listen(new HostAndPort("127.0.0.1", 0)).onSuccess(mqttPort::complete);
                respServer = new RespServer(vertx, dispatcher, lifecycle, 4);
                respServer.listen(new HostAndPort("127.0.0.1", 0)).onSuccess(port::complete);
                vertx.createNetServer()
                        .connectHandler(socket -> socket.handler(read -> blockEventLoop()))
                        .listen(0, "127.0.0.1")
                        .onSuccess(server -> stallPort.complete(server.actualPort()));
                lifecycle.enter(Lifecycle.Phase.SERVING);
            });
        }

        private void onLoop(Runnable action) throws Exception {
            CompletableFuture<Void> done = new CompletableFuture<>();
            vertx.runOnContext(start -> {
                try {
                    action.run();
                    done.complete(null);
                } catch (RuntimeException e) {
                    done.completeExceptionally(e);
                }
            });
            done.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        void execute(String line) throws Exception {
            String[] tokens = line.split(" ", 3);
            switch (tokens[0]) {
                case "list" -> updateEndpoints(line.split(" "));
                case "node" -> backend(tokens[1]).close();
                case "discovery" ->
                    onLoop(() -> new DiscoveryClient(
                                    vertx,
                                    discovery,
                                    tokens.length == 1
                                            ? TestSettings.settings()
                                            : TestSettings.settingsWithPolledList(),
                                    new SplittableRandom(1),
                                    dispatcher::endpointsChanged)
                            .start());
                case "phase" ->
                    onLoop(() -> {
                        lifecycle.enter(Lifecycle.Phase.valueOf(tokens[1]));
                        respServer.drain(() -> mqttServer.drain(() -> stopped.complete(null)));
                    });
                case "stall" -> stall(Integer.parseInt(tokens[1]));
                case "stopped" -> stopped.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
                case "counters" ->
                    awaitCounters(List.of(line.substring("counters ".length()).split(" ")));
                default -> executeParty(tokens);
            }
        }

        /** Blocks the event loop for this time in ms while it reads from a connection; returns once it is blocked. */
        private void stall(int ms) throws Exception {
            Socket socket =
                    new Socket(InetAddress.getLoopbackAddress(), stallPort.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
            parties.put("stall " + parties.size(), socket);
            socket.getOutputStream().write(1);
            stalls.put(ms);
        }

        private void blockEventLoop() {
            try {
                Thread.sleep(stalls.take());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private ServerSocket backend(String name) throws IOException {
            if (!backends.containsKey(name)) {
                backends.put(name, new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
            }
            return backends.get(name);
        }

        /** Returns the state for its name in the recorded exchanges. */
        private static EndpointState state(String name) {
            return name.equals("gone") ? EndpointState.REMOVED : EndpointState.valueOf(name.toUpperCase(Locale.ROOT));
        }

        /** Applies a list of endpoints: the first list is complete and its backends are warm, later ones are changes. */
        private void updateEndpoints(String[] tokens) throws Exception {
            List<Backend> lines = new ArrayList<>();
            for (int i = 1; i < tokens.length; i += 3) {
                lines.add(new Backend(
                        new Endpoint(
                                tokens[i],
                                "room-a",
                                "std-3",
                                Integer.parseInt(tokens[i + 2]),
                                state(tokens[i + 1]),
                                1,
                                0),
                        (tokens[i].startsWith("m") ? "mqtt://" : "") + "127.0.0.1:"
                                + backend(tokens[i]).getLocalPort()));
            }
            boolean complete = !hasCompleteList;
            hasCompleteList = true;
            onLoop(() -> dispatcher.endpointsChanged(complete, lines));
        }

        /** Reads the counters until they have the expected values, since they may change with a delay. */
        private void awaitCounters(List<String> expected) throws Exception {
            List<String> lines = new ArrayList<>();
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
            while (!lines.containsAll(expected) && System.nanoTime() < until) {
                lines.clear();
                onLoop(() -> lines.addAll(dispatcher.infoLines().lines().toList()));
            }
            assertTrue(lines.containsAll(expected), "the counters are " + lines);
        }

        private void executeParty(String[] tokens) throws Exception {
            Socket socket = socket(tokens[0]);
            MqttText packet = packets.get(tokens[0]);
            String text = tokens.length < 3 ? "" : unescape(addresses(tokens[2])) + (packet == null ? "" : "\n");
            byte[] bytes = packet != null && tokens[1].startsWith(">")
                    ? packet.bytes(text)
                    : text.getBytes(StandardCharsets.ISO_8859_1);
            switch (tokens[1]) {
                case ">" -> socket.getOutputStream().write(bytes);
                case ">>" -> {
                    for (byte each : bytes) {
                        socket.getOutputStream().write(each);
                        socket.getOutputStream().flush();
                    }
                }
                case "<" -> receive(tokens[0], socket, text);
                case "close" -> socket.close();
                case "closed" -> {
                    assertEquals(unread.getOrDefault(tokens[0], ""), "");
                    assertEquals(read(tokens[0], socket), "");
                }
                default -> fail("unknown action of a party");
            }
        }

        /** Replaces names of backends in braces by their addresses, each of which has 15 characters. */
        private String addresses(String text) throws IOException {
            return Pattern.compile("\\{(n\\d)}").matcher(text).replaceAll(match -> {
                try {
                    return "127.0.0.1:" + backend(match.group(1)).getLocalPort();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }

        private Socket socket(String party) throws Exception {
            if (!parties.containsKey(party)) {
                Socket socket;
                if (party.startsWith("m")) {
                    packets.put(party, new MqttText());
                }
                if (party.contains("client")) {
                    socket = new Socket(
                            InetAddress.getLoopbackAddress(),
                            (party.startsWith("m") ? mqttPort : port).get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
                } else {
                    ServerSocket backend = backend(party.substring(0, party.indexOf('/')));
                    backend.setSoTimeout(TIMEOUT_MS);
                    socket = backend.accept();
                }
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(TIMEOUT_MS);
                parties.put(party, socket);
            }
            return parties.get(party);
        }

        /** Returns the next bytes that the party receives; empty at the end of the connection. */
        private String read(String party, Socket socket) throws IOException {
            byte[] bytes = new byte[8192];
            MqttText packet = packets.get(party);
            String text = "";
            try {
                while (text.isEmpty()) {
                    int length = socket.getInputStream().read(bytes);
                    if (length < 0) {
                        return "";
                    }
                    text = packet != null
                            ? packet.text(bytes, length)
                            : new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
                }
                return text;
            } catch (java.net.SocketException e) {
                return "";
            }
        }

        private void receive(String party, Socket socket, String expected) throws IOException {
            Pattern pattern = Pattern.compile(
                    Stream.of(expected.split("(?=\\{n}|\\{any})|(?<=\\{n})|(?<=\\{any})"))
                            .map(part ->
                                    part.equals("{n}") ? "\\d+" : part.equals("{any}") ? ".*?" : Pattern.quote(part))
                            .reduce("", String::concat),
                    Pattern.DOTALL);
            String seen = unread.getOrDefault(party, "");
            while (true) {
                Matcher matcher = pattern.matcher(seen);
                if (matcher.lookingAt()) {
                    unread.put(party, seen.substring(matcher.end()));
                    return;
                }
                String more;
                try {
                    more = read(party, socket);
                } catch (SocketTimeoutException e) {
                    more = "";
                }
                assertTrue(!more.isEmpty(), "received only \"" + seen + "\"");
                seen = seen + more;
            }
        }

        private static String unescape(String text) {
            Matcher many = Pattern.compile("<(.)x(\\d+)>").matcher(text);
            return many.replaceAll(match -> match.group(1).repeat(Integer.parseInt(match.group(2))))
                    .replace("\\r", "\r")
                    .replace("\\n", "\n");
        }

        @Override
        public void close() throws IOException {
            for (Socket each : parties.values()) {
                each.close();
            }
            for (ServerSocket each : backends.values()) {
                each.close();
            }
            vertx.close()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .join();
        }
    }
}
