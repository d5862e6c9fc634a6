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

/**
 * Checks that the wall clock is read only in the files for which docs/design/wall-clock.md states why a step of the
 * clock is harmless.
 */
public class WallClockTest {
    private static final Pattern READS = Pattern.compile("System\\.currentTimeMillis\\(|Instant\\.now\\(|Clock\\.system"
            + "|LocalDate(Time)?\\.now\\(|ZonedDateTime\\.now\\(|new Date\\(\\)|getLastModifiedTime|lastModified\\(");
    private static final Pattern ROW = Pattern.compile("(?m)^\\| `([^`]+\\.java)` \\|");

    @Test
    public void onlyDocumentedFilesReadWallClock() throws Exception {
        Path root = Path.of("").toAbsolutePath();
        Set<String> readingFiles = new TreeSet<>();
        try (Stream<Path> files = Files.walk(root)) {
            files.filter(file ->
                            file.toString().endsWith(".java") && file.toString().contains("/src/main/"))
                    .filter(WallClockTest::readsWallClock)
                    .forEach(file -> readingFiles.add(root.relativize(file).toString()));
        }
        Set<String> documentedFiles = new TreeSet<>();
        ROW.matcher(Files.readString(root.resolve("docs/design/wall-clock.md")))
                .results()
                .forEach(row -> documentedFiles.add(row.group(1)));
        assertEquals(readingFiles, documentedFiles);
    }

    private static boolean readsWallClock(Path file) {
        try {
            return READS.matcher(Files.readString(file)).find();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
