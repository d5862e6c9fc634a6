package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import opalcove.lifecycle.Application;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks how many commands one turn of the event loop executes, and in which order connections continue. */
public class CommandSchedulerTest {
    private static final int TIMEOUT_S = 20;

    private Vertx vertx;
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    @BeforeMethod
    public void open() {
        vertx = Application.createEventLoop();
        events.clear();
    }

    @AfterMethod
    public void close() {
        vertx.close();
    }

    private void awaitEvents(String... expected) throws Exception {
        for (String each : expected) {
            assertEquals(events.poll(TIMEOUT_S, TimeUnit.SECONDS), each);
        }
    }

    /** Guards other clients against one that sends commands at full speed. */
    @Test
    public void continuesBusyConnectionAfterOtherTasksOfTurn() throws Exception {
        RespTestBed.onLoop(vertx, () -> {
            CommandScheduler scheduler = new CommandScheduler(vertx);
            CommandScheduler.Share busy = new CommandScheduler.Share();
            for (int i = 1; i < CommandScheduler.MAX_CONNECTION_COMMANDS; i++) {
                assertTrue(scheduler.commandExecuted(busy, false), "command " + i);
            }
            assertFalse(scheduler.commandExecuted(busy, false));
            assertTrue(scheduler.commandExecuted(new CommandScheduler.Share(), false));
            scheduler.continueLater(busy, () -> {
                events.add("continued");
                assertTrue(scheduler.commandExecuted(busy, false));
                events.add("may execute again");
            });
            assertTrue(busy.isWaiting());
            vertx.runOnContext(task -> {
                events.add("task of the turn");
                vertx.runOnContext(next -> events.add("task of that task"));
            });
        });
        awaitEvents("task of the turn", "task of that task", "continued", "may execute again");
    }

    /** Guards each connection against those that came before it and are busy without end. */
    @Test
    public void continuesConnectionsInOrderAndOnceEach() throws Exception {
        RespTestBed.onLoop(vertx, () -> {
            CommandScheduler scheduler = new CommandScheduler(vertx);
            for (String name : List.of("a", "b", "c")) {
                CommandScheduler.Share share = new CommandScheduler.Share();
                scheduler.continueLater(share, () -> useUpTurn(scheduler, name));
                scheduler.continueLater(share, () -> events.add("twice"));
            }
        });
        awaitEvents("a", "b", "c");
        RespTestBed.onLoop(vertx, () -> {});
        assertTrue(events.isEmpty(), events.toString());
    }

    private void useUpTurn(CommandScheduler scheduler, String name) {
        events.add(name);
        CommandScheduler.Share share = new CommandScheduler.Share();
        while (scheduler.commandExecuted(share, false)) {
            // Uses up the share of this connection.
        }
    }
}
