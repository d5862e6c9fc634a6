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
    public void eachPhaseHasItsText() {
        Vertx vertx = Vertx.vertx();
        try {
            Lifecycle phases = new Lifecycle();
            GatewayStatus status = new GatewayStatus();
            List<String> told = new ArrayList<>();
            told.add(status.notReady());
            status.gatewayWired(vertx, null, null, phases);
            for (Lifecycle.Phase phase : Lifecycle.Phase.values()) {
                phases.enter(phase);
                told.add(String.valueOf(status.notReady()));
            }
            assertEquals(told, List.of("starting", "starting", "null", "leaving", "draining", "stopped"));
        } finally {
            vertx.close();
        }
    }
}
