package opalcove;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
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
 * Tests the bytes of each packet that the server and the backend connections write; {@link ExchangeTest} tests their order.
 */
public class MqttBytesTest {
    private static final int TIMEOUT_MS = 10_000;

    private MqttText packets;
    private Lifecycle lifecycle;
    private Vertx vertx;
    private RequestDispatcher dispatcher;
    private MqttRequestServer server;
    private ServerSocket backend;
    private Socket client;

    @BeforeMethod
    public void start() throws Exception {
        packets = new MqttText();
        lifecycle = new Lifecycle();
        vertx = Vertx.vertx();
        backend = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        backend.setSoTimeout(TIMEOUT_MS);
        CompletableFuture<Integer> port = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            DecisionSettings settings = TestSettings.settings();
            Clock clock = new Clock();
            dispatcher = new RequestDispatcher(
                    vertx,
                    clock,
                    settings,
                    7,
                    new ConnectionPool(vertx, settings, new MqttConnector(vertx, settings, "gateway"), 5));
            dispatcher.endpointsChanged(
                    true,
                    List.of(new Backend(
                            new Endpoint("m1", "room-a", "std-3", 1, EndpointState.UP, 1, 0),
                            "mqtt://127.0.0.1:" + backend.getLocalPort())));
            server = new MqttRequestServer(vertx, dispatcher, lifecycle, clock, 1);
            server.listen(new HostAndPort("127.0.0.1", 0)).onSuccess(port::complete);
        });
        client = connect(port.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    private static Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    @AfterMethod
    public void stop() throws Exception {
        client.close();
        backend.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private void write(Socket socket, String line) throws IOException {
        socket.getOutputStream().write(packets.bytes(line));
    }

    /** Reads the next packet; returns it as hexadecimal digits, with sequences of printable characters in quotes. */
    private static String read(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] head = {in.readByte(), in.readByte(), 0};
        int length = head[1] & 0x7f;
        if (head[1] < 0) {
            head[2] = in.readByte();
            length += head[2] << 7;
        }
        byte[] body = in.readNBytes(length);
        return HexFormat.of().formatHex(head, 0, head[1] < 0 ? 3 : 2) + " " + readable(body);
    }

    private static String readable(byte[] bytes) {
        StringBuilder text = new StringBuilder();
        String all = new String(bytes, StandardCharsets.ISO_8859_1);
        int from = 0;
        while (from < all.length()) {
            int to = from;
            while (to < all.length() && all.charAt(to) > ' ' - 1 && all.charAt(to) < 127) {
                to++;
            }
            if (to - from > 2) {
                text.append('"').append(all, from, to).append('"');
                from = to;
            } else {
                text.append(String.format("%02x", (int) all.charAt(from)));
                from++;
            }
        }
        return text.toString();
    }

    private static final String PARAMETERS =
            "operator=00000000b4d65521 plan=start units=2 entry-points=1 first-entry=0";

    @Test
    public void writesAcknowledgementsAndResponsesToClient() throws Exception {
        write(client, "CONNECT client=rack-7");
        assertEquals(read(client), "2011 00000e2100402401250027000120002a00");
        write(client, "SUBSCRIBE id=1 filter=a");
        assertEquals(read(client), "9004 00010001");
        write(client, "PUBLISH topic=opalcove/ask/slot-status qos=1 id=5 correlation=c1 " + PARAMETERS);
        assertEquals(read(client), "4039 000599351f00\"2an ask needs a response topic and correlation data\"");
        write(client, "PUBLISH topic=opalcove/ask/slot-status qos=1 id=6 response=b correlation=c1 " + PARAMETERS);
        assertEquals(read(client), "402e 0006902a1f00\"'the response topic is not subscribed to\"");
        write(client, "PUBLISH topic=opalcove/ask/odd qos=1 id=7 response=a correlation=c1 " + PARAMETERS);
        assertEquals(
                read(client),
                "3234 00016100012e090002\"c1&\"0006\"status\"0006\"failed&\"0006\"reason\"000d\"unknown class\"");
        assertEquals(read(client), "4002 0007");
        write(client, "PUBLISH topic=opalcove/ask/slot-status qos=2 id=8 response=a correlation=c1 " + PARAMETERS);
        assertEquals(read(client), "e002 9b00");
    }

    @Test
    public void rejectsClientAtLimitOrWithOldProtocolAndDisconnectsClientDuringDrain() throws Exception {
        write(client, "CONNECT client=rack-7");
        read(client);
        try (Socket second = connect(client.getPort())) {
            write(second, "CONNECT client=rack-8");
            assertEquals(read(second), "2003 009700");
        }
        try (Socket old = connect(client.getPort())) {
            write(old, "CONNECT client=rack-7 version=4");
            assertEquals(read(old), "2002 0001");
        }
        CompletableFuture<Void> drained = new CompletableFuture<>();
        vertx.runOnContext(start -> {
            lifecycle.enter(Lifecycle.Phase.SERVING);
            lifecycle.enter(Lifecycle.Phase.DRAINING);
            server.drain(() -> drained.complete(null));
        });
        assertEquals(read(client), "e002 8b00");
        client.close();
        drained.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Test
    public void writesRequestToBackendAndForwardsItsResponseToClient() throws Exception {
        write(client, "CONNECT client=rack-7");
        read(client);
        write(client, "SUBSCRIBE id=1 filter=a");
        read(client);
        write(
                client,
                "PUBLISH topic=opalcove/ask/swap-record qos=1 id=5 expiry=3 response=a correlation=c1 key=5c0f retry=1 "
                        + PARAMETERS + " payload=BODY");
        try (Socket connection = backend.accept()) {
            connection.setSoTimeout(TIMEOUT_MS);
            assertEquals(read(connection), "1016 0004\"MQTT\"05020000000009\"gateway-1\"");
            write(connection, "CONNACK code=0");
            assertEquals(read(connection), "821f 0001000019\"opalcove/answer/gateway-1\"01");
            write(connection, "SUBACK id=1");
            assertEquals(
                    read(connection),
                    """
                32c601 \
                0018"opalcove/ask/swap-record"0001a401080019"opalcove/answer/gateway-1"\
                090010"cf868f049e4a937e"0200000003260008"operator"0010"00000000b4d65521&"0004"plan"0005"start&\
                "0005"units"00013226000c"entry-points"00013126000b"first-entry"000130260003"key"0004"5c0f&"0005"retry"0001"1BODY\"""");
            write(
                    connection,
                    "PUBLISH topic=opalcove/answer/gateway-1 qos=1 id=9 correlation=cf868f049e4a937e status=served payload=done");
            assertEquals(read(connection), "4002 0009");
            assertEquals(read(client), "3220 000161000116090002\"c1&\"0006\"status\"0006\"serveddone\"");
            assertEquals(read(client), "4002 0005");
        }
    }
}
