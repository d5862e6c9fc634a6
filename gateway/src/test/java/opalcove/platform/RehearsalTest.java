package opalcove.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import opalcove.Facts;
import org.testng.annotations.Test;

public class RehearsalTest {
    @Test
    public void allItsAsksAreAnsweredAndItLeavesNothing() throws Exception {
        long before = folders();
        assertEquals(Rehearsal.play(Vertx::vertx, Facts.settings(), 60_000), Rehearsal.ASKS);
        assertEquals(folders(), before);
    }

    @Test
    public void whereNoSocketCanBeMadeThereIsNoPlay() throws Exception {
        Path tooLong = Path.of(System.getProperty("java.io.tmpdir"), "x".repeat(200));
        assertFalse(Rehearsal.reached(tooLong));
        Path fit = Files.createTempDirectory("reached").resolve("at");
        assertTrue(Rehearsal.reached(fit));
        assertFalse(Files.exists(fit));
        Files.delete(fit.getParent());
    }

    private static long folders() throws Exception {
        try (Stream<Path> all = Files.list(Path.of(System.getProperty("java.io.tmpdir")))) {
            return all.filter(each -> each.getFileName().toString().startsWith("rehearsal")).count();
        }
    }
}
