package opalcove.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the bounds of the local health score and its effect on times. */
public class LocalHealthTest {
    @Test
    public void limitsScoreToBoundsAndScalesTimes() {
        LocalHealth health = new LocalHealth(2);
        health.adjust(-1);
        assertTrue(health.isHealthy());
        assertEquals(health.scaleMs(200), 200);
        health.adjust(5);
        assertEquals(health.score(), 2);
        assertEquals(health.scaleMs(200), 600);
    }
}
