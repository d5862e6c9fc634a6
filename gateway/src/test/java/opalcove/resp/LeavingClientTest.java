package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import opalcove.decision.EndpointState;
import org.testng.annotations.Test;

/**
 * A client leaves while its request waits: nothing of it reaches a backend afterwards, wherever it waited. In each case
 * the leaving is noticed first; then what the request waited for happens, and the next request is the first that the backend gets.
 */
public class LeavingClientTest {
    /** Requests that may wait for as long as a test does. */
    private static final String[] PATIENT = {
        "\"aim_ms\":2000,\"deadline_ms\":4000", "\"aim_ms\":90000,\"deadline_ms\":90000"
    };

    private static final int WAIT_MS = 90_000;
    /** Commands of one connection after which it is not read on. */
    private static final int PIPELINED = 256;

    @Test
    public void heldWhileNoBackendMayHaveIt() throws Exception {
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.DRAINING));
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, WAIT_MS));
            stage.until("asks_open", 1);
            client.close();
            stage.until("terminals_left", 1);
            stage.setEndpoints(backend.is(EndpointState.UP));
            isTheFirstToCome(stage, backend);
        }
    }

    @Test
    public void waitingForAnotherAttempt() throws Exception {
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, WAIT_MS));
            RespTestBed.BackendPeer line = backend.accept();
            assertTrue(line.command().contains(RespTestBed.id(1)));
            stage.setEndpoints(backend.is(EndpointState.DRAINING));
            line.say("-BUSY\r\n");
            stage.until("attempts_turned_away", 1);
            client.close();
            stage.until("terminals_left", 1);
            stage.setEndpoints(backend.is(EndpointState.UP));
            isTheFirstToCome(stage, backend);
        }
    }

    @Test
    public void behindOthersOnItsConnection() throws Exception {
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            stage.holdConnections();
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, WAIT_MS) + RespTestBed.PING + RespTestBed.query(2, WAIT_MS));
            Runnable first = stage.connectionUp();
            Runnable second = stage.connectionUp();
            client.close();
            stage.until("terminals_left", 2);
            stage.handOver(first);
            stage.handOver(second);
            stage.until("links_resting", 2);
            isTheFirstToCome(stage, backend);
        }
    }

    @Test
    public void whileItsConnectionIsNotReadForWantOfAnswers() throws Exception {
        leavesUnread(RespTestBed.PING.repeat(10));
    }

    @Test
    public void whileItsConnectionIsNotReadAndMuchLiesBehind() throws Exception {
        leavesUnread(RespTestBed.PING.repeat(5000));
    }

    private static void leavesUnread(String behind) throws Exception {
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            stage.holdConnections();
            Socket client = stage.client();
            RespTestBed.say(client, unread());
            stage.until("taken", 2);
            Runnable first = stage.connectionUp();
            Runnable second = stage.connectionUp();
            RespTestBed.say(client, behind);
            client.close();
            stage.until("terminals_left", 2);
            stage.handOver(first);
            stage.handOver(second);
            stage.until("links_resting", 2);
            isTheFirstToCome(stage, backend);
        }
    }

    @Test
    public void whileItsConnectionIsNotReadForWhatIsNoCommand() throws Exception {
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            stage.holdConnections();
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, WAIT_MS) + "no command\r\n" + "x".repeat(300_000));
            Runnable late = stage.connectionUp();
            client.close();
            stage.until("terminals_left", 1);
            stage.handOver(late);
            stage.until("links_resting", 1);
            isTheFirstToCome(stage, backend);
        }
    }

    /** What is looked at to see a client leave is not lost for one that stays: each command has its answer, in order. */
    @Test
    public void whoStaysGetsTheAnswersToAllThatWasReadMeanwhile() throws Exception {
        try (RespTestBed stage = new RespTestBed(PATIENT)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.setEndpoints(backend.is(EndpointState.UP));
            stage.holdConnections();
            Socket client = stage.client();
            RespTestBed.say(client, unread());
            stage.until("taken", 2);
            Runnable first = stage.connectionUp();
            Runnable second = stage.connectionUp();
            RespTestBed.say(client, RespTestBed.words("PING", "behind").repeat(3000) + RespTestBed.query(3, WAIT_MS));
            // Another client's leaving is noticed by the same look that reads what lies behind here.
            Socket other = stage.client();
            RespTestBed.say(other, RespTestBed.query(4, WAIT_MS) + "no command\r\n");
            Runnable others = stage.connectionUp();
            other.close();
            stage.until("terminals_left", 1);
            stage.handOver(others);
            stage.handOver(first);
            stage.handOver(second);
            for (int answered = 0; answered < 2; answered++) {
                RespTestBed.BackendPeer line = backend.withCommand();
                line.serve("value");
            }
            assertEquals(RespTestBed.answer(client), "value");
            for (int i = 0; i < PIPELINED - 1; i++) {
                assertEquals(RespTestBed.answer(client), "+PONG");
            }
            assertEquals(RespTestBed.answer(client), "value");
            for (int i = 0; i < 3000; i++) {
                assertEquals(RespTestBed.answer(client), "behind");
            }
            stage.until("taken", 4);
        }
    }

    /** A request, and as many commands and another request that the connection is not read after them. */
    private static String unread() {
        return RespTestBed.query(1, WAIT_MS) + RespTestBed.PING.repeat(PIPELINED - 1) + RespTestBed.query(2, WAIT_MS);
    }

    private static void isTheFirstToCome(RespTestBed stage, RespTestBed.Node backend) throws Exception {
        Socket next = stage.client();
        RespTestBed.say(next, RespTestBed.query(9, WAIT_MS));
        RespTestBed.BackendPeer line = backend.withCommand();
        assertTrue(line.command().contains(RespTestBed.id(9)), "the ask of one who left was sent on");
        line.serve("nine");
        assertEquals(RespTestBed.answer(next), "nine");
    }
}
