package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import opalcove.decision.EndpointState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A client leaves, by a close or by a reset, and the gateway has not read that yet when an attempt for it would be made:
 * nothing is sent. In each case the event loop is held up while the client leaves, and goes on with what makes the attempt
 * before it reads any socket again.
 */
public class ClientLeftTest {
    /** Requests that may wait for as long as a test does. */
    private static final String[] PATIENT = {
        "\"aim_ms\":2000,\"deadline_ms\":4000", "\"aim_ms\":90000,\"deadline_ms\":90000"
    };

    private static final int WAIT_MS = 90_000;
    /** Commands of one connection after which it is not read on. */
    private static final int PIPELINED = 256;
    /** Longer than what was known of a connection counts as known still, ms; a longer sleep is as good. */
    private static final int OUTDATED_MS = 60;

    /** How a client leaves. */
    private enum Leaving {
        CLOSE,
        RESET;

        void by(Socket client) throws IOException {
            if (this == RESET) {
                client.setSoLinger(true, 0);
            }
            client.close();
        }
    }

    @DataProvider
    public Object[][] leavings() {
        return new Object[][] {{Leaving.CLOSE}, {Leaving.RESET}};
    }

    @Test(dataProvider = "leavings")
    public void heldByTheDecisionModule(Leaving leaving) throws Exception {
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.DRAINING));
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, WAIT_MS));
            stage.until("asks_open", 1);
            stage.unread(
                    () -> leave(leaving, client),
                    () -> stage.gateway.endpointsChanged(true, List.of(backend.is(EndpointState.UP))));
            nothingWasSent(stage, backend, 1);
        }
    }

    /** The backend's refusal and the client's leaving come while the loop is held up, the refusal first. */
    @Test(dataProvider = "leavings")
    public void betweenAttempts(Leaving leaving) throws Exception {
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node first = stage.backend("n1");
            RespTestBed.Node second = stage.backend("n2");
            stage.setEndpoints(first.is(EndpointState.UP));
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, WAIT_MS));
            RespTestBed.BackendPeer line = first.accept();
            assertTrue(line.command().contains(RespTestBed.id(1)));
            stage.setEndpoints(first.is(EndpointState.DRAINING), second.is(EndpointState.UP));
            stage.unread(
                    () -> {
                        line.say("-BUSY\r\n");
                        leave(leaving, client);
                    },
                    () -> {});
            stage.until("attempts_turned_away", 1);
            nothingWasSent(stage, second, 1);
        }
    }

    /** The request is read after its client has left; a connection is at rest, so that it would be sent on at once. */
    @Test(dataProvider = "leavings")
    public void readAfterItDisconnected(Leaving leaving) throws Exception {
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, WAIT_MS));
            RespTestBed.BackendPeer line = backend.accept();
            line.command();
            line.serve("one");
            assertEquals(RespTestBed.answer(client), "one");
            stage.until("links_resting", 1);
            stage.unread(
                    () -> {
                        RespTestBed.say(client, RespTestBed.query(2, WAIT_MS));
                        leave(leaving, client);
                    },
                    () -> {});
            stage.until("asks_open", 0);
            Socket next = stage.client();
            RespTestBed.say(next, RespTestBed.query(99, WAIT_MS));
            assertTrue(line.command().contains(RespTestBed.id(99)), "a request of a client that had left was sent on");
            assertTrue(backend.gotNothing(), "a request of a client that had left was sent on");
        }
    }

    @Test(dataProvider = "leavings")
    public void waitingForAConnection(Leaving leaving) throws Exception {
        disconnectsBeforeConnectionsAreUp(leaving, RespTestBed.query(1, WAIT_MS), 1);
    }

    @Test(dataProvider = "leavings")
    public void behindOthersOnItsConnection(Leaving leaving) throws Exception {
        disconnectsBeforeConnectionsAreUp(
                leaving, RespTestBed.query(1, WAIT_MS) + RespTestBed.PING + RespTestBed.query(2, WAIT_MS), 2);
    }

    @Test(dataProvider = "leavings")
    public void onAConnectionNotReadForWantOfAnswers(Leaving leaving) throws Exception {
        disconnectsBeforeConnectionsAreUp(leaving, notReadOn() + RespTestBed.PING.repeat(10), 2);
    }

    /** So much lies unread that the end does not show in the first read of it. */
    @Test(dataProvider = "leavings")
    public void onAConnectionNotReadWithMuchBehind(Leaving leaving) throws Exception {
        disconnectsBeforeConnectionsAreUp(leaving, notReadOn() + RespTestBed.PING.repeat(3000), 2);
    }

    @Test(dataProvider = "leavings")
    public void onAConnectionNotReadAfterAnError(Leaving leaving) throws Exception {
        disconnectsBeforeConnectionsAreUp(
                leaving, RespTestBed.query(1, WAIT_MS) + RespTestBed.words("UNKNOWN") + "+no command\r\n", 1);
    }

    @Test(dataProvider = "leavings")
    public void onAConnectionNotReadAfterWhatIsNoCommand(Leaving leaving) throws Exception {
        disconnectsBeforeConnectionsAreUp(
                leaving, RespTestBed.query(1, WAIT_MS) + "no command\r\n" + "x".repeat(100_000), 1);
    }

    /** One read of the connection brings what came before the client left, and ends before the end that lies behind it. */
    @Test(dataProvider = "leavings")
    public void behindWhatTheSameTurnHasRead(Leaving leaving) throws Exception {
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            stage.holdConnections();
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, WAIT_MS));
            Runnable link = stage.connectionUp();
            stage.unread(
                    () -> {
                        RespTestBed.say(client, RespTestBed.PING);
                        leave(leaving, client);
                    },
                    () -> {
                        stage.vertx.setTimer(1, read -> link.run());
                        // So that it is due in the next turn, once that has read its sockets.
                        sleep(5);
                    });
            nothingWasSent(stage, backend, 1);
        }
    }

    /** Each of the clients that leave together leaves room for the requests of the others. */
    @Test(dataProvider = "leavings")
    public void inABurstOfLeavingClients(Leaving leaving) throws Exception {
        int clients = 12;
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            stage.holdConnections();
            List<Socket> all = new ArrayList<>();
            List<Runnable> links = new ArrayList<>();
            for (int i = 1; i <= clients; i++) {
                Socket client = stage.client();
                RespTestBed.say(client, RespTestBed.query(i, WAIT_MS));
                stage.until("taken", i);
                links.add(stage.connectionUp());
                all.add(client);
            }
            stage.unread(
                    () -> {
                        for (Socket client : all) {
                            leaving.by(client);
                        }
                        Thread.sleep(OUTDATED_MS);
                    },
                    () -> links.forEach(Runnable::run));
            nothingWasSent(stage, backend, clients);
        }
    }

    /** The attempt is made while the client is there, in a turn of the event loop in which the client then leaves. */
    @Test(dataProvider = "leavings")
    public void inTheTurnThatMadeTheAttempt(Leaving leaving) throws Exception {
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            stage.holdConnections();
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, WAIT_MS));
            Runnable link = stage.connectionUp();
            stage.onLoop(() -> {
                link.run();
                try {
                    leave(leaving, client);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            nothingWasSent(stage, backend, 1);
        }
    }

    /** A client that stays loses nothing by the looks: what they read is served in its order. */
    @Test
    public void oneThatStaysIsAnsweredInOrder() throws Exception {
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            stage.holdConnections();
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, WAIT_MS));
            Runnable first = stage.connectionUp();
            // Looked at with a command and a half unread, though the connection is read.
            String next = RespTestBed.words("PING", "two");
            stage.unread(
                    () -> {
                        RespTestBed.say(client, next + next.substring(0, 9));
                        Thread.sleep(OUTDATED_MS);
                    },
                    first);
            RespTestBed.say(client, next.substring(9) + RespTestBed.PING);
            RespTestBed.BackendPeer line = backend.withCommand();
            assertTrue(line.command().contains(RespTestBed.id(1)));
            line.serve("one");
            for (String answer : List.of("one", "two", "two", "+PONG")) {
                assertEquals(RespTestBed.answer(client), answer);
            }
        }
    }

    private static void disconnectsBeforeConnectionsAreUp(Leaving leaving, String commands, int requests)
            throws Exception {
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            stage.holdConnections();
            Socket client = stage.client();
            RespTestBed.say(client, commands);
            List<Runnable> links = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                links.add(stage.connectionUp());
            }
            stage.unread(() -> leave(leaving, client), () -> links.forEach(Runnable::run));
            nothingWasSent(stage, backend, requests);
        }
    }

    private static void sleep(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void leave(Leaving leaving, Socket client) throws IOException, InterruptedException {
        leaving.by(client);
        Thread.sleep(OUTDATED_MS);
    }

    /** The client's requests have ended, and the next client's request is the first that the backend gets after that. */
    private static void nothingWasSent(RespTestBed stage, RespTestBed.Node backend, int requests) throws Exception {
        stage.until("terminals_left", requests);
        stage.until("asks_open", 0);
        stage.holdNoMore();
        Socket next = stage.client();
        RespTestBed.say(next, RespTestBed.query(99, WAIT_MS));
        RespTestBed.BackendPeer line = backend.withCommand();
        assertTrue(line.command().contains(RespTestBed.id(99)), "a request of a client that had left was sent on");
        line.serve("next");
        assertEquals(RespTestBed.answer(next), "next");
        assertTrue(backend.gotNothing(), "a request of a client that had left was sent on");
    }

    /** A request, and as many commands and another request that the connection is not read after them. */
    private static String notReadOn() {
        return RespTestBed.query(1, WAIT_MS) + RespTestBed.PING.repeat(PIPELINED - 1) + RespTestBed.query(2, WAIT_MS);
    }
}
