package opalcove.resp;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import opalcove.TestSettings;
import opalcove.backend.ConnectionPool;
import opalcove.config.Clock;
import opalcove.config.HostAndPort;
import opalcove.core.RequestDispatcher;
import opalcove.decision.DecisionSettings;
import opalcove.lifecycle.Application;
import opalcove.lifecycle.Lifecycle;
import org.testng.annotations.Test;

/** Checks that a server that stops accepting connections serves those that were established before. */
public class DrainingServerTest {
    private static final int CONNECTIONS = 60;

    @Test
    public void servesConnectionsEstablishedWhileLoopWasBlockedBeforeDrain() throws Exception {
        DecisionSettings settings = TestSettings.settings();
        Vertx vertx = Application.createEventLoop();
        List<Socket> clients = new ArrayList<>();
        try {
            Lifecycle lifecycle = new Lifecycle();
            CompletableFuture<RespServer> serverStarted = new CompletableFuture<>();
            CompletableFuture<Integer> listening = new CompletableFuture<>();
            vertx.runOnContext(start -> {
                RequestDispatcher dispatcher = new RequestDispatcher(
                        vertx,
                        new Clock(),
                        settings,
                        1,
                        new ConnectionPool(vertx, settings, new RespConnector(vertx, settings), 8));
                lifecycle.enter(Lifecycle.Phase.SERVING);
                RespServer server = new RespServer(vertx, dispatcher, lifecycle, 2 * CONNECTIONS);
                server.listen(new HostAndPort("127.0.0.1", 0)).onSuccess(listening::complete);
                serverStarted.complete(server);
            });
            int port = listening.get(10, TimeUnit.SECONDS);
            RespServer server = serverStarted.get(10, TimeUnit.SECONDS);
            CountDownLatch loopBlocked = new CountDownLatch(1);
            CountDownLatch unblockLoop = new CountDownLatch(1);
            vertx.runOnContext(run -> {
                loopBlocked.countDown();
                try {
                    unblockLoop.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                lifecycle.enter(Lifecycle.Phase.DRAINING);
                server.drain(() -> {});
            });
            loopBlocked.await();
            for (int i = 0; i < CONNECTIONS; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(20_000);
                socket.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
                clients.add(socket);
            }
            unblockLoop.countDown();
            assertEquals(countServed(clients), CONNECTIONS);
        } finally {
            for (Socket socket : clients) {
                socket.close();
            }
            vertx.close();
        }
    }

    /** Returns how many of the connections got the reply to their command. */
    private static int countServed(List<Socket> connections) throws IOException {
        int served = 0;
        for (Socket socket : connections) {
            try {
                served +=
                        new String(socket.getInputStream().readNBytes(7), StandardCharsets.US_ASCII).equals("+PONG\r\n")
                                ? 1
                                : 0;
            } catch (java.net.SocketException e) {
                continue;
            }
        }
        return served;
    }
}
