package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import opalcove.decision.EndpointState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * The deadline that a backend is given is at most what the client has left, with 0.15 s of slack, however long the request lay
 * unread: each test has a request wait for at least so long, and looks at what its backend is given.
 */
public class UnreadTimeTest {
    private static final int TIMEOUT_MS = 4000;
    private static final int UNREAD_MS = 700;
    private static final int SLACK_MS = 150;
    /** Errors after which the reads of a connection were paused for a second by the next. */
    private static final int ERRORS = 20;

    private static final String UNKNOWN_CLASS = RespTestBed.encodeCommand(
            "SVC.QUERY", "00000000000000b2", "00000000000000ff", "c=none,t=start,d=100,units=1,spread=1,first=0");

    private RespTestBed testBed;
    private RespTestBed.FakeBackend backend;

    @BeforeMethod
    public void open() throws Exception {
        testBed = new RespTestBed();
        backend = testBed.startBackend("n1");
        testBed.setEndpoints(backend.withState(EndpointState.UP));
    }

    @AfterMethod
    public void close() throws Exception {
        testBed.close();
    }

    /** Has the time pass with the event loop held up: nothing is read meanwhile. */
    private void runAndLeaveUnread(RespTestBed.Action first) throws Exception {
        testBed.runWhileLoopBlocked(
                () -> {
                    first.run();
                    TimeUnit.MILLISECONDS.sleep(UNREAD_MS);
                },
                () -> {});
    }

    private void assertDeadlineWithinRemaining() throws Exception {
        String command = backend.nextConnectionWithCommand().readCommand();
        int deadlineMs = Integer.parseInt(command.replaceAll(".*,d=(\\d+).*", "$1"));
        assertTrue(deadlineMs <= TIMEOUT_MS - UNREAD_MS + SLACK_MS, command);
    }

    @Test
    public void subtractsUnreadTimeFromDeadlineWhenLoopIsBlocked() throws Exception {
        Socket client = testBed.connectClient();
        RespTestBed.send(client, RespTestBed.PING);
        assertEquals(RespTestBed.readReply(client), "+PONG");
        runAndLeaveUnread(() -> RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS)));
        assertDeadlineWithinRemaining();
    }

    @Test
    public void subtractsUnreadTimeFromDeadlineOfNewConnectionWhenLoopIsBlocked() throws Exception {
        runAndLeaveUnread(() -> RespTestBed.send(testBed.connectClient(), RespTestBed.query(1, TIMEOUT_MS)));
        assertDeadlineWithinRemaining();
    }

    @Test
    public void subtractsDelayFromDeadlineWhenLoopIsBlockedBetweenDecisionAndWrite() throws Exception {
        testBed.holdConnections();
        RespTestBed.send(testBed.connectClient(), RespTestBed.query(1, TIMEOUT_MS));
        Runnable heldConnection = testBed.awaitHeldConnection();
        testBed.stopHoldingConnections();
        // The request's bytes wait for the end of this turn, which comes late.
        testBed.onLoop(() -> {
            heldConnection.run();
            sleep();
        });
        assertEquals(testBed.counter("lapsed_while_dialled"), 1);
        assertDeadlineWithinRemaining();
    }

    private static void sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(UNREAD_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    public void shedsRequestAndSendsNothingWhenDeadlinePassedBeforeRead() throws Exception {
        Socket client = testBed.connectClient();
        RespTestBed.send(client, RespTestBed.PING);
        assertEquals(RespTestBed.readReply(client), "+PONG");
        runAndLeaveUnread(() -> RespTestBed.send(client, RespTestBed.query(1, UNREAD_MS / 2)));
        assertEquals(RespTestBed.readReply(client), "-BUSY");
        assertEquals(testBed.counter("attempts"), 0);
        assertEquals(testBed.counter("refused.unread_in_time"), 1);
    }

    @Test
    public void subtractsUnreadTimeFromDeadlineWhenReadsArePausedAfterErrors() throws Exception {
        Socket client = testBed.connectClient();
        RespTestBed.send(client, UNKNOWN_CLASS.repeat(ERRORS));
        for (int i = 0; i < ERRORS; i++) {
            assertEquals(RespTestBed.readReply(client), "-ERR unknown class");
        }
        // One more, after the pause for those, and the request right behind its answer.
        RespTestBed.send(client, UNKNOWN_CLASS);
        assertEquals(RespTestBed.readReply(client), "-ERR unknown class");
        runAndLeaveUnread(() -> RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS)));
        assertDeadlineWithinRemaining();
    }
}
