package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import opalcove.config.Backend;
import opalcove.decision.EndpointState;
import opalcove.lifecycle.Lifecycle;
import org.testng.annotations.Test;

/** Checks a server whose memory for waiting bytes is used up: what waits, what goes on, and that all are answered. */
public class RequestMemoryTest {
    private static final int MAX_BYTES = 1024 * 1024;
    private static final int BODY_BYTES = 64 * 1024;
    /** How many requests of that length use up the part of the memory that long requests get. */
    private static final int REQUESTS_TO_FILL = MAX_BYTES / 2 / BODY_BYTES;

    private static final int TIMEOUT_MS = 7000;

    /** Guards requests against being lost, or run too early, when they do not fit: they wait unread and are served. */
    @Test
    public void servesWaitingRequestOnceMemoryIsReleased() throws Exception {
        try (FullGateway gateway = new FullGateway()) {
            Socket waiting = gateway.sendToWait(submit(100, TIMEOUT_MS, BODY_BYTES));
            assertNull(gateway.arrived.poll());
            gateway.answerOne();
            gateway.serve(100);
            assertEquals(RespTestBed.readReply(waiting), "value");
        }
    }

    /** Guards everybody else against a process that stands still while its memory is used up. */
    @Test
    public void answersShortCommandsAndNewConnectionsWhileMemoryIsUsedUp() throws Exception {
        try (FullGateway gateway = new FullGateway()) {
            gateway.sendToWait(submit(100, TIMEOUT_MS, BODY_BYTES));
            Socket other = gateway.testBed.connectClient();
            RespTestBed.send(other, RespTestBed.PING + query(101));
            assertEquals(RespTestBed.readReply(other), "+PONG");
            gateway.serve(101);
            assertEquals(RespTestBed.readReply(other), "value");
            RespTestBed.send(other, submit(102, TIMEOUT_MS, 1000));
            gateway.serve(102);
            assertEquals(RespTestBed.readReply(other), "value");
        }
    }

    /** Guards requests against a deadlock of commands that each have a part of the memory and wait for the rest. */
    @Test
    public void completesCommandsThatAllArrivedByHalf() throws Exception {
        try (Gateway gateway = new Gateway()) {
            int requests = 3 * REQUESTS_TO_FILL;
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                clients.add(gateway.testBed.connectClient());
                RespTestBed.send(
                        clients.get(i), submit(i, TIMEOUT_MS, BODY_BYTES).substring(0, BODY_BYTES / 2));
            }
            gateway.testBed.awaitCounter("reads_paused_for_memory", requests - REQUESTS_TO_FILL);
            for (int i = requests - 1; i >= 0; i--) {
                RespTestBed.send(
                        clients.get(i), submit(i, TIMEOUT_MS, BODY_BYTES).substring(BODY_BYTES / 2));
            }
            for (int i = 0; i < requests; i++) {
                gateway.take().peer.sendValue("value");
            }
            for (Socket each : clients) {
                assertEquals(RespTestBed.readReply(each), "value");
            }
        }
    }

    /** Guards a request that gets no memory in its time against having no response at all. */
    @Test
    public void refusesWaitingRequestBeforeItsDeadlineAndGoesOnBehindIt() throws Exception {
        try (FullGateway gateway = new FullGateway()) {
            Socket waiting =
                    gateway.sendToWait(submit(100, 1200, BODY_BYTES) + submit(101, 1200, 6000) + RespTestBed.PING);
            assertEquals(RespTestBed.readReply(waiting), "-BUSY");
            assertEquals(RespTestBed.readReply(waiting), "-BUSY");
            assertEquals(RespTestBed.readReply(waiting), "+PONG");
            assertEquals(gateway.testBed.counter("refused.no_memory"), 2);
            assertNull(gateway.arrived.poll(), "a refused request was forwarded");
        }
    }

    /** Guards a client against the time for clients that stop in the middle of a command, while nobody reads it. */
    @Test
    public void doesNotCloseConnectionThatWaitsForMemoryAsStalled() throws Exception {
        try (Gateway gateway = new Gateway()) {
            // The memory is used up without backends, which would count as stalled after that time.
            gateway.testBed.onLoop(() -> gateway.testBed.memory.charge(MAX_BYTES / 2));
            Socket waiting = gateway.sendToWait(submit(100, TIMEOUT_MS, BODY_BYTES));
            TimeUnit.MILLISECONDS.sleep(OpenConnections.IDLE_TIMEOUT_MS + 1000);
            gateway.testBed.onLoop(() -> gateway.testBed.memory.release(MAX_BYTES / 2));
            Arrived request = gateway.serve(100);
            assertEquals(RespTestBed.readReply(waiting), "value");
            double remainingMs = Double.parseDouble(request.command.replaceFirst("(?s).*,d=([0-9.]+).*", "$1"));
            assertTrue(
                    remainingMs <= TIMEOUT_MS - OpenConnections.IDLE_TIMEOUT_MS,
                    "the deadline does not count the time in which the request was unread: " + remainingMs);
        }
    }

    /** Guards the memory against waiters that have disconnected, and backends against their requests. */
    @Test
    public void forgetsWaitingRequestOfClientThatDisconnects() throws Exception {
        try (FullGateway gateway = new FullGateway()) {
            Socket waiting = gateway.sendToWait(submit(100, TIMEOUT_MS, BODY_BYTES));
            waiting.setSoLinger(true, 0);
            waiting.close();
            gateway.answerOne();
            Socket next = gateway.testBed.connectClient();
            RespTestBed.send(next, submit(101, TIMEOUT_MS, BODY_BYTES));
            gateway.serve(101);
            assertEquals(RespTestBed.readReply(next), "value");
        }
    }

    /** Guards requests that have been taken against a shutdown that does not wait for their memory. */
    @Test
    public void servesWaitingRequestDuringShutdown() throws Exception {
        try (FullGateway gateway = new FullGateway()) {
            Socket waiting = gateway.sendToWait(submit(100, TIMEOUT_MS, BODY_BYTES));
            gateway.testBed.onLoop(() -> {
                gateway.testBed.lifecycle.enter(Lifecycle.Phase.DRAINING);
                gateway.testBed.server.drain(() -> {});
            });
            gateway.answerOne();
            gateway.serve(100);
            assertEquals(RespTestBed.readReply(waiting), "value");
        }
    }

    /** Guards pipelined requests against a deadlock of responses that hold the memory that an earlier one needs. */
    @Test
    public void respondsInOrderWhenLaterValuesUseUpMemory() throws Exception {
        try (Gateway gateway = new Gateway()) {
            String value = "v".repeat(BODY_BYTES);
            int requests = 2 * MAX_BYTES / BODY_BYTES;
            Socket client = gateway.testBed.connectClient();
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                commands.append(query(i));
            }
            RespTestBed.send(client, commands.toString());
            Arrived first = null;
            for (int i = 0; i < requests; i++) {
                Arrived request = gateway.take();
                if (request.isOf(0)) {
                    first = request;
                } else {
                    request.peer.sendValue(value);
                }
            }
            // Some of the later values are in memory then, and others wait in their sockets.
            while (gateway.testBed.onLoop(gateway.testBed.memory::waiterCount) == 0) {
                Thread.sleep(1);
            }
            assertTrue(gateway.testBed.onLoop(gateway.testBed.memory::usedBytes) <= MAX_BYTES);
            first.peer.sendValue(value);
            for (int i = 0; i < requests; i++) {
                assertEquals(RespTestBed.readReply(client), value, "response " + i);
            }
        }
    }

    /** Guards memory against responses of the gateway itself that wait for an earlier response: they are made later. */
    @Test
    public void holdsNoMemoryForOwnResponsesBehindOpenRequest() throws Exception {
        try (Gateway gateway = new Gateway()) {
            int commands = 200;
            Socket client = gateway.testBed.connectClient();
            RespTestBed.send(client, query(0));
            // Taken before the other request is sent: on two connections they may be read in either order.
            Arrived first = gateway.take();
            RespTestBed.send(client, RespTestBed.encodeCommand("INFO").repeat(commands) + query(1));
            gateway.serve(1);
            gateway.testBed.awaitCounter("attempts_served", 1);
            assertTrue(
                    gateway.testBed.onLoop(gateway.testBed.memory::usedBytes) < RespTestBed.PING.length() * commands);
            first.peer.sendValue("first");
            assertEquals(RespTestBed.readReply(client), "first");
            for (int i = 0; i < commands; i++) {
                assertTrue(RespTestBed.readReply(client).contains("taken=2"), "response " + i);
            }
            assertEquals(RespTestBed.readReply(client), "value");
        }
    }

    /** Encodes a request of a tenant of its own, so that no quota is exceeded. */
    private static String query(int number) {
        return RespTestBed.query(number, 4000).replace("00000000000000b2", RespTestBed.requestId(number));
    }

    private static String submit(int number, int timeoutMs, int bodyBytes) {
        String id = RespTestBed.requestId(number);
        return RespTestBed.encodeCommand(
                "SVC.SUBMIT",
                id,
                id,
                "c=swap-record,t=start,d=" + timeoutMs + ",k=" + id + ",units=1,spread=1,first=0",
                "b".repeat(bodyBytes));
    }

    /** A request that has arrived at a backend. */
    private record Arrived(String command, RespTestBed.BackendPeer peer) {
        boolean isOf(int number) {
            return command.contains(" " + RespTestBed.requestId(number) + " ");
        }
    }

    /** A gateway with little memory, and backends whose requests are answered by the test. */
    private static class Gateway implements Closeable {
        private static final int BACKENDS = 8;
        final RespTestBed testBed = RespTestBed.withMemory(MAX_BYTES);
        final BlockingQueue<Arrived> arrived = new LinkedBlockingQueue<>();

        Gateway() throws Exception {
            Backend[] backends = new Backend[BACKENDS];
            for (int i = 0; i < BACKENDS; i++) {
                RespTestBed.FakeBackend backend = testBed.startBackend("n" + i);
                backends[i] = backend.withState(EndpointState.UP);
                startDaemon(() -> acceptAll(backend));
            }
            testBed.setEndpoints(backends);
        }

        private void acceptAll(RespTestBed.FakeBackend backend) throws Exception {
            while (true) {
                RespTestBed.BackendPeer peer = backend.accept();
                startDaemon(() -> {
                    while (true) {
                        arrived.add(new Arrived(peer.readCommand(), peer));
                    }
                });
            }
        }

        private static void startDaemon(RespTestBed.Action action) {
            Thread thread = new Thread(() -> {
                try {
                    action.run();
                } catch (Exception | AssertionError closed) {
                    // The connection or the backend was closed.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        /** Sends a command on a new connection and waits until the gateway has stopped reading it. */
        Socket sendToWait(String command) throws Exception {
            int paused = testBed.counter("reads_paused_for_memory");
            Socket client = testBed.connectClient();
            RespTestBed.send(client, command);
            testBed.awaitCounter("reads_paused_for_memory", paused + 1);
            return client;
        }

        Arrived take() throws Exception {
            Arrived request = arrived.poll(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS);
            assertNotNull(request, "no backend received a request");
            return request;
        }

        /** Answers the next request that arrives, which must be this one. */
        Arrived serve(int number) throws Exception {
            Arrived request = take();
            assertTrue(request.isOf(number), "another request than " + number + " arrived");
            request.peer.sendValue("value");
            return request;
        }

        @Override
        public void close() throws IOException {
            testBed.close();
        }
    }

    /** A gateway whose memory for long requests is used up by requests that its backends have not answered. */
    private static final class FullGateway extends Gateway {
        private static final int FIRST = 1000;
        private final List<Socket> clients = new ArrayList<>();
        private final List<Arrived> requests = new ArrayList<>();

        FullGateway() throws Exception {
            for (int i = 0; i < REQUESTS_TO_FILL; i++) {
                clients.add(testBed.connectClient());
                RespTestBed.send(clients.get(i), submit(FIRST + i, TIMEOUT_MS, BODY_BYTES));
                requests.add(take());
            }
        }

        void answerOne() throws Exception {
            requests.remove(0).peer.sendValue("done");
            assertEquals(RespTestBed.readReply(clients.remove(0)), "done");
        }
    }
}
