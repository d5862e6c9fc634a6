package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Promise;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import opalcove.TestSettings;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.decision.EndpointState;
import opalcove.lifecycle.Application;
import opalcove.lifecycle.Lifecycle;
import opalcove.server.GatewayStatus;
import org.testng.annotations.Test;

/** The end of the process crossing asks, new settings and its own start. */
public class EndCrossingsTest {
    private static final int WAIT_MS = 4000;
    /** An ask that would wait for longer than the test does. */
    private static final int LONG_MS = 90_000;

    private static final String[] LONG = {
        "\"aim_ms\":2000,\"deadline_ms\":4000", "\"aim_ms\":2000,\"deadline_ms\":90000"
    };

    /** Taken late in the end from a node that never answers: its answer does not wait for its own time, which is over after the end. */
    @Test
    public void anAskTakenLateInTheEndIsAnsweredBeforeTheProcessIsKilled() throws Exception {
        try (RespTestBed stage = new RespTestBed(LONG)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.told(backend.is(EndpointState.UP));
            Socket client = stage.client();
            halfway(stage, client, RespTestBed.query(1, LONG_MS));
            ends(stage, 300);
            RespTestBed.say(client, rest(RespTestBed.query(1, LONG_MS)));
            RespTestBed.BackendConnection line = backend.accept();
            // Its node is told how long it is waited for.
            assertTrue(line.command().matches(".*,d=[0-3]?[0-9]?[0-9](\\.[0-9]+)?,.*"));
            assertTrue(RespTestBed.answer(client).startsWith("-"));
            assertTrue(line.ended(), "its attempt is given up");
            assertEquals(stage.figure("ended_by_deadline_guard"), 0);
        }
    }

    /** Its answer has to come behind that of an ask which was taken before and may wait longer. */
    @Test
    public void theAskBeforeOneThatCameLateInTheEndDoesNotHoldItsAnswerBack() throws Exception {
        try (RespTestBed stage = new RespTestBed(LONG)) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.told(backend.is(EndpointState.UP));
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, LONG_MS));
            RespTestBed.BackendConnection first = backend.accept();
            first.command();
            ends(stage, 300);
            RespTestBed.say(client, RespTestBed.query(2, LONG_MS));
            RespTestBed.BackendConnection second = backend.accept();
            second.command();
            second.serve("two");
            assertTrue(RespTestBed.answer(client).startsWith("-"));
            assertEquals(RespTestBed.answer(client), "two");
        }
    }

    @Test
    public void anAskForWhichNoTimeIsLeftIsRefusedAtOnceAndTheConnectionClosed() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.told(backend.is(EndpointState.UP));
            Socket client = stage.client();
            halfway(stage, client, RespTestBed.query(1, WAIT_MS));
            ends(stage, 0);
            RespTestBed.say(client, rest(RespTestBed.query(1, WAIT_MS)));
            assertEquals(RespTestBed.answer(client), "-BUSY");
            assertEquals(client.getInputStream().read(), -1);
            assertTrue(backend.gotNothing());
        }
    }

    /** From SIGTERM to the last answers: within what the platform leaves a process before it is killed. */
    @Test
    public void theLastAnswersComeBeforeTheKillWhateverTheDeadlines() {
        for (long longest : new long[] {200, 450, 1400, 3000, 7500, 60_000}) {
            long fromTerm = 500 + Application.answersWithinMs(longest);
            assertTrue(fromTerm < Math.min(longest, 3000) + 700, longest + ": " + fromTerm);
            assertTrue(
                    Application.answersWithinMs(longest) >= Math.min(longest, 3000) - 100, longest + ": " + fromTerm);
        }
    }

    /** New settings with shorter deadlines crossing the end: asks that were taken under the old ones still get their answer. */
    @Test
    public void theEndWaitsForAsksOfOlderSettings() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            RespTestBed.Node backend = stage.backend("n1");
            stage.told(backend.is(EndpointState.UP));
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.query(1, WAIT_MS));
            RespTestBed.BackendConnection line = backend.accept();
            line.command();
            stage.onLoop(() -> stage.gateway.applySettings(SettingsReader.checked(
                    JsonFields.parse(TestSettings.JSON.replaceAll("\"deadline_ms\":\\d+", "\"deadline_ms\":300")))));
            assertEquals((long) stage.onLoop(() -> stage.gateway.maxDeadlineMs()), 7500);
            CompletableFuture<Void> none = new CompletableFuture<>();
            stage.onLoop(() -> stage.gateway.whenIdle(() -> none.complete(null)));
            assertFalse(none.isDone());
            line.serve("one");
            assertEquals(RespTestBed.answer(client), "one");
            none.get(RespTestBed.PATIENCE_S, TimeUnit.SECONDS);
            assertEquals((long) stage.onLoop(() -> stage.gateway.maxDeadlineMs()), 300);
        }
    }

    @Test
    public void aCommandThatLiesUnreadAsTheEndClosesWhatIsIdleIsAnswered() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.PING);
            assertEquals(RespTestBed.answer(client), "+PONG");
            stage.unread(() -> RespTestBed.say(client, RespTestBed.PING), () -> {
                stage.phases.enter(Lifecycle.Phase.DRAINING);
                stage.front.drain(() -> {});
            });
            assertEquals(RespTestBed.answer(client), "+PONG");
            assertEquals(client.getInputStream().read(), -1);
        }
    }

    @Test
    public void aDrainAndItsEndInOneTurnLeaveTheConnectionInUse() throws Exception {
        try (RespTestBed stage = new RespTestBed()) {
            Socket client = stage.client();
            RespTestBed.say(client, RespTestBed.PING);
            assertEquals(RespTestBed.answer(client), "+PONG");
            stage.unread(() -> RespTestBed.say(client, RespTestBed.PING), () -> {
                stage.front.setDrainRequested(true);
                stage.front.setDrainRequested(false);
            });
            assertEquals(RespTestBed.answer(client), "+PONG");
            RespTestBed.say(client, RespTestBed.PING);
            assertEquals(RespTestBed.answer(client), "+PONG");
        }
    }

    /** The operators' door is open before there is a front: what it was told last holds once there is one. */
    @Test
    public void aDrainThatComesBeforeThereIsAFrontIsKeptForIt() throws Exception {
        for (boolean taken : new boolean[] {false, true}) {
            try (RespTestBed stage = new RespTestBed()) {
                GatewayStatus status = new GatewayStatus();
                status.setDrainRequested(true);
                if (taken) {
                    status.setDrainRequested(false);
                }
                stage.onLoop(() -> status.gatewayWired(stage.vertx, stage.gateway, stage.front, stage.phases));
                Socket client = stage.client();
                RespTestBed.say(client, RespTestBed.PING);
                assertEquals(RespTestBed.answer(client), taken ? "+PONG" : "-ERR draining");
                status.setDrainRequested(false);
                stage.onLoop(() -> {});
                Socket next = stage.client();
                RespTestBed.say(next, RespTestBed.PING);
                assertEquals(RespTestBed.answer(next), "+PONG");
            }
        }
    }

    /** Told to end before its list was there: a front that opened then would take asks that the process's end cuts off. */
    @Test
    public void aProgramThatIsToldToEndWhileItStartsDoesNotOpenItsFront() {
        Application program = new Application();
        AtomicBoolean opened = new AtomicBoolean();
        program.phases().enter(Lifecycle.Phase.LEAVING);
        program.open(() -> {
            opened.set(true);
            return Promise.<Integer>promise().future();
        });
        assertFalse(opened.get());
        assertEquals(program.phases().current(), Lifecycle.Phase.LEAVING);
    }

    /** Brings the first half of a command, and sees that the gateway has read what was sent before it. */
    private static void halfway(RespTestBed stage, Socket client, String command) throws Exception {
        RespTestBed.say(client, RespTestBed.PING + command.substring(0, command.length() / 2));
        assertEquals(RespTestBed.answer(client), "+PONG");
    }

    private static String rest(String command) {
        return command.substring(command.length() / 2);
    }

    /** The process drains, and will be killed so many ms from now. */
    private static void ends(RespTestBed stage, int ms) throws Exception {
        stage.onLoop(() -> {
            stage.phases.enter(Lifecycle.Phase.DRAINING);
            stage.gateway.beginShutdown(ms);
            stage.front.drain(() -> {});
        });
    }
}
