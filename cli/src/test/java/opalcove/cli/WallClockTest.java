package opalcove.cli;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** The wall clock is read where docs/design/wall-clock.md says why a step of it breaks nothing, and nowhere else. */
public class WallClockTest {
    private static final Pattern READS = Pattern.compile("System\\.currentTimeMillis\\(|Instant\\.now\\(|Clock\\.system"
            + "|LocalDate(Time)?\\.now\\(|ZonedDateTime\\.now\\(|new Date\\(\\)|getLastModifiedTime|lastModified\\(");
    private static final Pattern ROW = Pattern.compile("(?m)^\\| `([^`]+\\.java)` \\|");

    @Test
    public void eachReadOfTheWallClockHasItsReason() throws Exception {
        Path root = Path.of("").toAbsolutePath();
        Set<String> read = new TreeSet<>();
        try (Stream<Path> files = Files.walk(root)) {
            files.filter(file ->
                            file.toString().endsWith(".java") && file.toString().contains("/src/main/"))
                    .filter(WallClockTest::readsWallClock)
                    .forEach(file -> read.add(root.relativize(file).toString()));
        }
        Set<String> told = new TreeSet<>();
        ROW.matcher(Files.readString(root.resolve("docs/design/wall-clock.md")))
                .results()
                .forEach(row -> told.add(row.group(1)));
        assertEquals(read, told);
    }

    private static boolean readsWallClock(Path file) {
        try {
            return READS.matcher(Files.readString(file)).find();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
