package opalcove.gateway;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class AlarmsTest {
    @Test
    public void theyGoOffInTheOrderOfTheirTimesUnlessCancelled() throws Exception {
        Vertx vertx = Vertx.vertx();
        List<String> rung = new ArrayList<>();
        CompletableFuture<List<String>> all = new CompletableFuture<>();
        vertx.runOnContext(go -> {
            Alarms alarms = new Alarms(vertx, new Clock());
            alarms.set(30, () -> rung.add("second"));
            Alarms.Alarm never = alarms.set(5, () -> rung.add("cancelled before it was due"));
            alarms.set(10, () -> rung.add("first"));
            Alarms.Alarm later = alarms.set(40, () -> rung.add("cancelled by an alarm"));
            alarms.set(20, later::cancel);
            alarms.set(50, () -> {
                alarms.set(0, () -> all.complete(rung));
                rung.add("last, and not before what it set");
            });
            never.cancel();
            rung.add("nothing goes off at once");
        });
        assertEquals(all.get(20, TimeUnit.SECONDS), List.of("nothing goes off at once", "first", "second",
                "last, and not before what it set"));
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
}
