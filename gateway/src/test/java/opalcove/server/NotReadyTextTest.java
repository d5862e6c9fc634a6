package opalcove.server;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import opalcove.lifecycle.Lifecycle;
import org.testng.annotations.Test;

/** Tests the reply to READY in each phase of the program, on which health checks of administrators depend. */
public class NotReadyTextTest {
    @Test
    public void repliesWithTextOfEachPhase() {
        Vertx vertx = Vertx.vertx();
        try {
            Lifecycle lifecycle = new Lifecycle();
            GatewayStatus status = new GatewayStatus();
            List<String> replies = new ArrayList<>();
            replies.add(status.notReady());
            status.gatewayWired(vertx, null, null, lifecycle);
            for (Lifecycle.Phase phase : Lifecycle.Phase.values()) {
                lifecycle.enter(phase);
                replies.add(String.valueOf(status.notReady()));
            }
            assertEquals(replies, List.of("starting", "starting", "null", "leaving", "draining", "stopped"));
        } finally {
            vertx.close();
        }
    }
}
