package opalcove;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.mqtt.MqttEndpoint;
import io.vertx.mqtt.MqttServer;
import io.vertx.mqtt.messages.MqttPublishMessage;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import opalcove.backend.ConnectionPool;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.config.HostAndPort;
import opalcove.core.RequestDispatcher;
import opalcove.decision.DecisionSettings;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import opalcove.lifecycle.Lifecycle;
import opalcove.mqtt.MqttConnector;
import opalcove.mqtt.MqttRequestServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A client sends requests continuously while MQTT backends are killed, drained and restarted. The test counts the responses
 * and attempts of each request.
 */
public class MqttBackendsTest {
    private static final long TIMEOUT_MS = 20_000;
    private static final int REQUESTS = 120;

    private final Vertx vertx = Vertx.vertx();
    private final Clock clock = new Clock();
    private final Map<String, EmulatedBackend> backends = new HashMap<>();
    /** The backends that received attempts, by request number. */
    private final Map<Integer, List<String>> attempts = new HashMap<>();

    /** Number of attempts in flight, by request id. */
    private final Map<String, Integer> inFlight = new HashMap<>();

    private final Set<String> concurrentAttempts = new HashSet<>();
    private RequestDispatcher dispatcher;
    private int port;

    /** An MQTT server that responds to each request after 15 ms. */
    private final class EmulatedBackend {
        private final String name;
        private final List<MqttEndpoint> connections = new ArrayList<>();
        private MqttServer server;
        private int listenPort;
        private int received;
        private boolean alive;

        EmulatedBackend(String name) {
            this.name = name;
        }

        CompletableFuture<?> start() {
            server = MqttServer.create(vertx).endpointHandler(connection -> {
                connections.add(connection);
                connection.subscribeHandler(subscription ->
                        connection.subscribeAcknowledge(subscription.messageId(), List.of(MqttQoS.AT_LEAST_ONCE)));
                connection.publishAutoAck(true);
                connection.publishHandler(request -> received(connection, request));
                connection.accept();
            });
            alive = true;
            return server.listen(listenPort, "127.0.0.1")
                    .onSuccess(opened -> listenPort = opened.actualPort())
                    .toCompletionStage()
                    .toCompletableFuture();
        }

        private void received(MqttEndpoint connection, MqttPublishMessage request) {
            String id = correlation(request.properties());
            received++;
            attempts.computeIfAbsent(number(request.properties()), i -> new ArrayList<>())
                    .add(name);
            if (inFlight.merge(id, 1, Integer::sum) > 1) {
                concurrentAttempts.add(id);
            }
            connection.closeHandler(closed -> inFlight.put(id, 0));
            vertx.setTimer(15, done -> {
                if (alive && connection.isConnected()) {
                    inFlight.put(id, 0);
                    MqttProperties properties = new MqttProperties();
                    properties.add(new MqttProperties.BinaryProperty(MqttProperties.CORRELATION_DATA, id.getBytes()));
                    properties.add(new MqttProperties.UserProperty("status", "served"));
                    connection.publish(
                            property(request.properties(), MqttProperties.RESPONSE_TOPIC),
                            Buffer.buffer(name),
                            MqttQoS.AT_MOST_ONCE,
                            false,
                            false,
                            0,
                            properties);
                }
            });
        }

        /** Closes its connections and its port, so that new connections are refused. */
        CompletableFuture<?> kill() {
            alive = false;
            List.copyOf(connections).stream().filter(MqttEndpoint::isConnected).forEach(MqttEndpoint::close);
            connections.clear();
            return server.close().toCompletionStage().toCompletableFuture();
        }
    }

    private static String correlation(MqttProperties properties) {
        return new String(
                (byte[]) properties.getProperty(MqttProperties.CORRELATION_DATA).value());
    }

    /** Returns the request's number, which the client sends as its tenant and the gateway forwards unchanged. */
    private static int number(MqttProperties properties) {
        for (MqttProperties.MqttProperty<?> each : properties.getProperties(MqttProperties.USER_PROPERTY)) {
            MqttProperties.StringPair pair = (MqttProperties.StringPair) each.value();
            if (pair.key.equals("operator")) {
                return Integer.parseInt(pair.value);
            }
        }
        throw new AssertionError("no operator");
    }

    private static String property(MqttProperties properties, int id) {
        return (String) properties.getProperty(id).value();
    }

    private <T> T onLoop(java.util.function.Supplier<T> action) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        vertx.runOnContext(ignored -> {
            try {
                done.complete(action.get());
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void updateEndpoints(boolean complete, EndpointState state, double startedMs, String... names)
            throws Exception {
        onLoop(() -> {
            List<Backend> entries = new ArrayList<>();
            for (String name : names) {
                entries.add(new Backend(
                        new Endpoint(name, "room-a", "std-3", 1, state, 1, startedMs),
                        "mqtt://127.0.0.1:" + backends.get(name).listenPort));
            }
            dispatcher.endpointsChanged(complete, entries);
            return null;
        });
    }

    @BeforeMethod
    public void start() throws Exception {
        for (String name : List.of("m1", "m2", "m3")) {
            EmulatedBackend backend = new EmulatedBackend(name);
            backends.put(name, backend);
            onLoop(backend::start).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
        DecisionSettings settings = TestSettings.settings(200);
        port = onLoop(() -> {
                    dispatcher = new RequestDispatcher(
                            vertx,
                            clock,
                            settings,
                            7,
                            new ConnectionPool(vertx, settings, new MqttConnector(vertx, settings, "gateway"), 100));
                    return new MqttRequestServer(vertx, dispatcher, new Lifecycle(), clock, 10)
                            .listen(new HostAndPort("127.0.0.1", 0))
                            .toCompletionStage()
                            .toCompletableFuture();
                })
                .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        updateEndpoints(true, EndpointState.UP, 0, "m1", "m2", "m3");
    }

    @AfterMethod
    public void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    public void sendsOneResponsePerRequestAndNoConcurrentAttemptsWhileBackendsFail() throws Exception {
        Map<String, List<String>> responses = new HashMap<>();
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout((int) TIMEOUT_MS);
            client.setTcpNoDelay(true);
            MqttText packets = new MqttText();
            send(client, packets, "CONNECT client=rack-7");
            send(client, packets, "SUBSCRIBE id=1 filter=a");
            double receivedBefore = 0;
            int warmReceivedBefore = 0;
            for (int i = 0; i < REQUESTS; i++) {
                if (i == REQUESTS / 4) {
                    onLoop(backends.get("m1")::kill).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
                    updateEndpoints(false, EndpointState.REMOVED, 0, "m1");
                }
                if (i == REQUESTS / 2) {
                    updateEndpoints(false, EndpointState.DRAINING, 0, "m2");
                    onLoop(backends.get("m1")::start).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
                    receivedBefore = onLoop(() -> backends.get("m1").received);
                    warmReceivedBefore = onLoop(() -> backends.get("m3").received);
                    updateEndpoints(false, EndpointState.UP, clock.now(), "m1");
                }
                String record = i % 2 == 0 ? "swap-record" : "slot-status";
                send(
                        client,
                        packets,
                        "PUBLISH topic=opalcove/ask/" + record + " qos=1 id=" + (i + 1)
                                + " response=a correlation=c" + i + " operator=" + String.format("%016d", i)
                                + " plan=start units=1 entry-points=1 first-entry=0"
                                + (i % 2 == 0 ? " key=k" + i + " payload=BODY" : ""));
                read(client, packets, responses, i);
            }
            read(client, packets, responses, REQUESTS);
            int slowStart = (int) (onLoop(() -> backends.get("m1").received) - receivedBefore);
            int warm = onLoop(() -> backends.get("m3").received) - warmReceivedBefore;
            assertTrue(
                    slowStart < warm,
                    "the backend in slow start received " + slowStart + " attempts, the warm one " + warm);
        }
        assertEquals(responses.size(), REQUESTS);
        responses.forEach((request, each) -> assertEquals(each.size(), 1, request + " " + each));
        assertEquals(concurrentAttempts, Set.of());
        List<String> counters = onLoop(() -> dispatcher.infoLines().lines().toList());
        assertTrue(
                counters.contains("taken=" + REQUESTS)
                        && counters.contains("stopped_by_guards=0")
                        && counters.contains("ended_by_deadline_guard=0"),
                counters.toString());
        // A swap-record that a backend has received is retried only in the same pod. All backends here are in
        // one pod, so the maximum is 6 attempts.
        attempts.forEach((request, at) -> assertTrue(at.size() <= 6, request + " " + at));
        // No request that was sent after the drain began has reached the draining backend.
        attempts.forEach((request, at) -> assertTrue(request < REQUESTS / 2 || !at.contains("m2"), request + " " + at));
        assertTrue(attempts.values().stream().anyMatch(receivers -> receivers.contains("m2")), attempts.toString());
        assertTrue(
                responses.values().stream()
                                .filter(each -> each.get(0).equals("served"))
                                .count()
                        > REQUESTS / 2,
                responses.toString());
    }

    private static void send(Socket client, MqttText packets, String line) throws Exception {
        client.getOutputStream().write(packets.bytes(line));
    }

    /**
     * Reads until at most four of the sent requests have no response, which limits the requests in flight; after the last
     * request, reads until all have a response.
     */
    private static void read(Socket client, MqttText packets, Map<String, List<String>> responses, int sent)
            throws Exception {
        byte[] bytes = new byte[8192];
        while (responses.size() < sent - 4 || sent == REQUESTS && responses.size() < REQUESTS) {
            int length = client.getInputStream().read(bytes);
            assertTrue(length > 0, "the server closed the connection");
            for (String line : packets.text(bytes, length).split("\n")) {
                if (line.startsWith("PUBLISH")) {
                    responses
                            .computeIfAbsent(line.replaceAll(".* correlation=(\\S+) .*", "$1"), c -> new ArrayList<>())
                            .add(line.replaceAll(".* status=(\\S+) .*", "$1"));
                }
            }
        }
    }
}
