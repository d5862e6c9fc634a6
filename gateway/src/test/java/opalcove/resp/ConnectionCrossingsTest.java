package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import opalcove.config.Backend;
import opalcove.config.EndpointCodec;
import opalcove.config.HostAndPort;
import opalcove.decision.EndpointState;
import opalcove.discovery.Backoff;
import opalcove.discovery.DiscoveryClient;
import opalcove.discovery.DiscoveryClientTest;
import opalcove.discovery.PollSchedule;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What crosses a connection to a backend: its coming up, its close, the answer that was not awaited any more. */
public class ConnectionCrossingsTest {
    private static final String FALL = "\"fall_ms\":3000";
    private static final String NO_CANCEL = "\"may_cancel\":true";

    /** Backends that close a connection after 1.5 s of rest: one that rested for 50 ms is looked at. */
    private static final String[] IDLE = {"\"idle_close_ms\":30000", "\"idle_close_ms\":1500"};

    /**
     * Drain graces, and for how long the loop is held up, ms: for all of the grace, and for a part that may add to
     * others.
     */
    @DataProvider
    public Object[][] gracesAndPauses() {
        return new Object[][] {{1000, 1000}, {1000, 600}, {500, 500}, {500, 300}};
    }

    @DataProvider
    public Object[][] mayCancel() {
        return new Object[][] {{"true"}, {"false"}};
    }

    /**
     * The loop is held up; meanwhile a request comes, and then a drain of the backend to which it would go on an idle connection. Both
     * lie unread as the loop goes on, the request before the drain.
     */
    @Test(dataProvider = "gracesAndPauses")
    public void aRequestIsNotSentToABackendWhoseDrainLiesUnreadBehindIt(int graceMs, int pauseMs) throws Exception {
        try (RespTestBed stage = new RespTestBed(FALL, FALL + ",\"stop_sending_within_ms\":" + graceMs);
                ServerSocket discovery = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            RespTestBed.Node first = stage.backend("n1");
            RespTestBed.Node second = stage.backend("n2");
            discovery.setSoTimeout(20_000);
            stage.onLoop(() -> {
                new DiscoveryClient(
                                stage.vertx,
                                new HostAndPort("127.0.0.1", discovery.getLocalPort()),
                                new PollSchedule(60_000, 20_000, 0, new Backoff(1, 2, new SplittableRandom(1))),
                                stage.gateway::endpointsChanged)
                        .start();
            });
            try (Socket agent = discovery.accept()) {
                DiscoveryClientTest.readCall(agent);
                list(agent, 4, first.is(EndpointState.UP), second.is(EndpointState.DRAINING));
                DiscoveryClientTest.readCall(agent);
                Socket client = stage.client();
                RespTestBed.say(client, RespTestBed.query(1, 4000));
                RespTestBed.BackendPeer rested = first.accept();
                rested.command();
                rested.serve("one");
                assertEquals(RespTestBed.answer(client), "one");
                stage.until("links_resting", 1);
                stage.unread(
                        () -> {
                            RespTestBed.say(client, RespTestBed.query(2, 4000));
                            list(agent, 5, first.is(EndpointState.DRAINING), second.is(EndpointState.UP));
                            Thread.sleep(pauseMs);
                        },
                        () -> {});
                RespTestBed.BackendPeer line = second.accept();
                assertTrue(line.command().contains(RespTestBed.id(2)));
                line.serve("two");
                assertEquals(RespTestBed.answer(client), "two");
                assertTrue(rested.ended(), "its node got a request");
            }
        }
    }

    /**
     * The loop is held up; meanwhile the watch ends with no news, the agent learns of a drain, which it can tell to the
     * next call alone, and a request comes for the drained backend. That request, and one that comes while the call is out, wait
     * for it.
     */
    @Test(dataProvider = "gracesAndPauses")
    public void aRequestIsNotSentToABackendWhoseDrainTheNextWatchBrings(int graceMs, int pauseMs) throws Exception {
        try (RespTestBed stage = new RespTestBed(FALL, FALL + ",\"stop_sending_within_ms\":" + graceMs);
                ServerSocket discovery = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            RespTestBed.Node first = stage.backend("n1");
            RespTestBed.Node second = stage.backend("n2");
            discovery.setSoTimeout(20_000);
            Backoff again = new Backoff(1, 2, new SplittableRandom(1));
            // Watches wait for 1 ms, so that an answer is late without regard to how long the test took before.
            PollSchedule pace = new PollSchedule(1, 20_000, 0, again, Long.MAX_VALUE, Long.MAX_VALUE, graceMs / 4);
            stage.onLoop(() -> {
                DiscoveryClient watch = new DiscoveryClient(
                        stage.vertx,
                        new HostAndPort("127.0.0.1", discovery.getLocalPort()),
                        pace,
                        stage.gateway::endpointsChanged);
                stage.gateway.endpointSource(watch);
                watch.start();
            });
            try (Socket agent = discovery.accept()) {
                DiscoveryClientTest.readCall(agent);
                list(agent, 4, first.is(EndpointState.UP), second.is(EndpointState.DRAINING));
                DiscoveryClientTest.readCall(agent);
                Socket client = stage.client();
                stage.unread(
                        () -> {
                            RespTestBed.say(client, RespTestBed.query(1, 4000));
                            answer(agent, "{\"index\":4,\"snapshot\":false,\"endpoints\":[]}");
                            Thread.sleep(pauseMs);
                        },
                        () -> {});
                DiscoveryClientTest.readCall(agent);
                Socket later = stage.client();
                RespTestBed.say(later, RespTestBed.query(2, 4000));
                stage.until("asks_open", 2);
                list(agent, 5, first.is(EndpointState.DRAINING), second.is(EndpointState.UP));
                for (Socket each : List.of(client, later)) {
                    RespTestBed.BackendPeer line = second.withCommand();
                    line.command();
                    line.serve("two");
                    assertEquals(RespTestBed.answer(each), "two");
                }
                assertTrue(first.gotNothing(), "a drained node got an ask");
            }
        }
    }

    private static void list(Socket agent, long index, Backend... backends) throws Exception {
        answer(agent, EndpointCodec.write(index, true, List.of(backends)).toString());
    }

    private static void answer(Socket agent, String list) throws Exception {
        agent.getOutputStream()
                .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    public void aRequestIsNotSentToABackendThatWasDrainedWhileItsConnectionCameUp() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            RespTestBed.Node first = stage.backend("n1");
            RespTestBed.Node second = stage.backend("n2");
            stage.setEndpoints(first.is(EndpointState.UP), second.is(EndpointState.DRAINING));
            stage.holdConnections();
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, 4000));
            Runnable late = stage.connectionUp();
            stage.setEndpoints(first.is(EndpointState.DRAINING), second.is(EndpointState.UP));
            stage.handOver(late);
            // The request goes to the other backend, as its second attempt.
            stage.handOver(stage.connectionUp());
            RespTestBed.BackendPeer line = second.accept();
            assertTrue(line.command().contains(RespTestBed.id(1)));
            line.serve("two");
            assertEquals(RespTestBed.answer(client), "two");
            assertTrue(first.gotNothing(), "a drained node got an ask");
            assertEquals(stage.figure("lapsed_while_dialled"), 1);
        }
    }

    @Test
    public void aRequestIsNotSentToTheFormerAddressOfABackendThatMovedWhileTheConnectionCameUp() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            RespTestBed.Node before = stage.backend("n1");
            RespTestBed.Node after = stage.backend("n1");
            stage.setEndpoints(before.is(EndpointState.UP));
            stage.holdConnections();
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, 4000));
            Runnable late = stage.connectionUp();
            stage.setEndpoints(after.is(EndpointState.UP));
            stage.handOver(late);
            stage.handOver(stage.connectionUp());
            RespTestBed.BackendPeer line = after.accept();
            assertTrue(line.command().contains(RespTestBed.id(1)));
            line.serve("moved");
            assertEquals(RespTestBed.answer(client), "moved");
            assertTrue(before.gotNothing(), "who is at the old place got an ask");
        }
    }

    @Test(dataProvider = "mayCancel")
    public void aRequestIsNotSentOnceItsClientDisconnectedWhileTheConnectionCameUp(String mayCancel) throws Exception {
        try (RespTestBed stage = new RespTestBed(NO_CANCEL, "\"may_cancel\":" + mayCancel)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            stage.holdConnections();
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, 4000));
            Runnable late = stage.connectionUp();
            client.close();
            stage.until("terminals_left", 1);
            stage.handOver(late);
            // The connection is kept, and a later request is the first that the backend gets on it.
            stage.until("links_resting", 1);
            Socket other = stage.client();
            RespTestBed.say(other, RespTestBed.query(2, 4000));
            RespTestBed.BackendPeer line = backend.accept();
            assertTrue(line.command().contains(RespTestBed.id(2)), "the ask of one who left was sent");
            line.serve("two");
            assertEquals(RespTestBed.answer(other), "two");
        }
    }

    /** Of a connection that is given up because its client left, nothing is held against the backend: the next request goes there at once. */
    @Test
    public void aBackendIsNotBlamedForAConnectionThatAClientDidNotWaitFor() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            stage.holdConnections();
            for (int leaving = 1; leaving <= 4; leaving++) {
                Socket client = stage.client();
                RespTestBed.say(client, RespTestBed.query(leaving, 4000));
                stage.connectionUp();
                client.close();
                stage.until("terminals_left", leaving);
                assertEquals(stage.figure("attempts"), leaving);
            }
            stage.onLoop(() -> stage.serve(9, 4000, new LinkedBlockingQueue<>()));
            assertEquals(stage.figure("attempts"), 5);
        }
    }

    @Test(dataProvider = "mayCancel")
    public void aRequestIsNotSentOnceItHasItsResponseWhileTheConnectionCameUp(String mayCancel) throws Exception {
        try (RespTestBed stage = new RespTestBed(NO_CANCEL, "\"may_cancel\":" + mayCancel)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            stage.holdConnections();
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, 100));
            Runnable late = stage.connectionUp();
            assertTrue(RespTestBed.answer(client).startsWith("-"), "a final answer in time, though no link came up");
            stage.handOver(late);
            stage.until("asks_open", 0);
            assertTrue(backend.gotNothing(), "an ask that was answered was sent");
        }
    }

    @Test
    public void anAttemptThatMayNotBeCancelledEndsAtItsDeadline() throws Exception {
        try (RespTestBed stage = new RespTestBed(NO_CANCEL, "\"may_cancel\":false")) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, 100));
            RespTestBed.BackendPeer line = backend.accept();
            line.command();
            assertTrue(RespTestBed.answer(client).startsWith("-"));
            assertTrue(line.ended(), "the link is kept for an answer that nobody awaits");
            stage.until("links_open", 0);
        }
    }

    @Test
    public void aRepeatWhoseWindowEndedWhileTheConnectionCameUpIsNotSent() throws Exception {
        try (RespTestBed stage =
                new RespTestBed("\"window_ms\":4000", "\"window_ms\":700", "\"group\":\"cell\"", "\"group\":\"all\"")) {
            RespTestBed.Node backend = stage.backend("n1");
            RespTestBed.Node other = stage.backend("n2");
            stage.setEndpoints(backend.is(EndpointState.UP), other.is(EndpointState.DRAINING));
            // The module makes a priced repeat for each ten first attempts.
            RespTestBed.BackendPeer line = rested(stage, backend);
            for (int i = 0; i < 10; i++) {
                again(stage, line);
            }
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.submit(99, 2000, "k1"));
            line.command();
            long ran = System.nanoTime();
            stage.setEndpoints(backend.is(EndpointState.DRAINING), other.is(EndpointState.UP));
            stage.holdConnections();
            // The first attempt may have run: only within the window may the other backend see it.
            line.reset();
            Runnable late = stage.connectionUp();
            while (System.nanoTime() - ran < TimeUnit.MILLISECONDS.toNanos(700)) {
                Thread.onSpinWait();
            }
            stage.handOver(late);
            assertTrue(RespTestBed.answer(client).startsWith("-"));
            assertTrue(other.gotNothing(), "a repeat was sent after its window");
        }
    }

    @Test
    public void anIdleConnectionThatItsBackendHasClosedIsNotWrittenTo() throws Exception {
        try (RespTestBed stage = new RespTestBed(IDLE)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            RespTestBed.BackendPeer line = rested(stage, backend);
            BlockingQueue<String> answers = new LinkedBlockingQueue<>();
            stage.unread(
                    () -> {
                        restsLong();
                        line.socket.close();
                    },
                    () -> stage.serve(2, 4000, answers));
            RespTestBed.BackendPeer fresh = backend.accept();
            assertTrue(fresh.command().contains(RespTestBed.id(2)));
            fresh.serve("two");
            assertEquals(answers.poll(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS), "two");
            assertEquals(stage.figure("attempts_broken"), 0);
            assertEquals(stage.figure("attempts"), 2);
        }
    }

    @Test
    public void aSecondReplyIsNotTakenForTheNextRequestThoughItWasNotReadYet() throws Exception {
        try (RespTestBed stage = new RespTestBed(IDLE)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            RespTestBed.BackendPeer line = rested(stage, backend);
            BlockingQueue<String> answers = new LinkedBlockingQueue<>();
            stage.unread(
                    () -> {
                        restsLong();
                        line.serve("one again");
                    },
                    () -> stage.serve(2, 4000, answers));
            RespTestBed.BackendPeer fresh = backend.accept();
            assertTrue(fresh.command().contains(RespTestBed.id(2)));
            fresh.serve("two");
            assertEquals(answers.poll(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS), "two");
            assertTrue(line.ended(), "a line with a second answer on it is given up");
        }
    }

    /** Where second answers come, no line is used again unlooked at, however short it rested. */
    @Test
    public void afterASecondAnswerALineThatRestedShortlyIsLookedAtToo() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            RespTestBed.BackendPeer line = rested(stage, backend);
            line.serve("one again");
            assertTrue(line.ended());
            for (int round = 0; round < 10; round++) {
                RespTestBed.BackendPeer next = rested(stage, backend);
                BlockingQueue<String> answers = new LinkedBlockingQueue<>();
                stage.unread(() -> next.serve("one again"), () -> stage.serve(2, 4000, answers));
                RespTestBed.BackendPeer fresh = backend.accept();
                assertTrue(fresh.command().contains(RespTestBed.id(2)));
                fresh.serve("two");
                assertEquals(answers.poll(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS), "two");
                stage.until("links_resting", 1);
                fresh.serve("two again");
                assertTrue(fresh.ended());
            }
        }
    }

    /** By then a line has rested for longer than the gateway is sure of it. */
    private static void restsLong() throws InterruptedException {
        Thread.sleep(60);
    }

    @Test
    public void aReplyThatCrossesTheClientsDisconnectIsGivenToNobodyElse() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, 4000));
            RespTestBed.BackendPeer line = backend.accept();
            line.command();
            BlockingQueue<String> answers = new LinkedBlockingQueue<>();
            // Both lie unread when the next request is taken; whichever is read first, the next request's answer is its
            // own.
            stage.unread(
                    () -> {
                        line.serve("one");
                        client.close();
                    },
                    () -> stage.serve(2, 4000, answers));
            RespTestBed.BackendPeer other = backend.accept();
            assertTrue(other.command().contains(RespTestBed.id(2)));
            other.serve("two");
            assertEquals(answers.poll(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS), "two");
            stage.until("asks_open", 0);
            assertEquals(stage.figure("attempts"), 2);
        }
    }

    @Test
    public void aReplyThatCrossesItsDeadlineGivesOneResponseAndSparesTheNextRequest() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, 150));
            RespTestBed.BackendPeer line = backend.accept();
            line.command();
            String first = RespTestBed.answer(client);
            assertNotEquals(first, "one");
            // The attempt was given up with that answer; what its backend says now is on a connection that is closed.
            try {
                line.serve("one");
            } catch (java.net.SocketException gone) {
                assertTrue(line.ended());
            }
            RespTestBed.say(client, RespTestBed.query(2, 4000));
            RespTestBed.BackendPeer fresh = backend.accept();
            assertTrue(fresh.command().contains(RespTestBed.id(2)));
            fresh.serve("two");
            assertEquals(RespTestBed.answer(client), "two");
        }
    }

    /** A line that has carried an answer and rests. */
    private static RespTestBed.BackendPeer rested(RespTestBed stage, RespTestBed.Node backend) throws Exception {
        Socket client = stage.client();
        RespTestBed.say(client, RespTestBed.query(1, 4000));
        RespTestBed.BackendPeer line = backend.accept();
        line.command();
        line.serve("one");
        assertEquals(RespTestBed.answer(client), "one");
        stage.until("links_resting", 1);
        return line;
    }

    /** One more request on an idle connection. */
    private static void again(RespTestBed stage, RespTestBed.BackendPeer line) throws Exception {
        BlockingQueue<String> answers = new LinkedBlockingQueue<>();
        stage.onLoop(() -> stage.serve(50, 4000, answers));
        line.command();
        line.serve("again");
        assertEquals(answers.poll(RespTestBed.TIMEOUT_S, TimeUnit.SECONDS), "again");
        stage.until("links_resting", 1);
    }
}
