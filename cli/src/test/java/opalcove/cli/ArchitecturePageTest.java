package opalcove.cli;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** docs/architecture.md names types and methods of the code; what it names has to be there, so that it cannot fall behind. */
public class ArchitecturePageTest {
    private static final Path PAGE = Path.of("docs/architecture.md");
    /** A type by its package, such as {@code core/AttemptGuard}, with a member perhaps. */
    private static final Pattern NAMED = Pattern.compile("`((?:[a-z]+/)+[A-Z]\\w*)(?:\\.(\\w+))?`");
    /** The renamed types' former names are in the page's last section. */
    private static final String HISTORY = "### Types renamed";

    @Test
    public void typesAndMembersThatThePageNamesAreThere() throws IOException {
        String page = Files.readString(PAGE);
        String present = page.substring(0, page.indexOf(HISTORY));
        List<String> missing = new ArrayList<>();
        int named = 0;
        for (Matcher match = NAMED.matcher(present); match.find(); named++) {
            Path source = source(match.group(1));
            if (source == null) {
                missing.add(match.group(1));
            } else if (match.group(2) != null && !declares(source, match.group(2))) {
                missing.add(match.group(1) + "." + match.group(2));
            }
        }
        assertTrue(named > 80, "the page names only " + named);
        assertTrue(missing.isEmpty(), "not in the code: " + missing);
    }

    private static Path source(String type) throws IOException {
        String file = "src/main/java/opalcove/" + type + ".java";
        try (Stream<Path> modules = Files.list(Path.of("."))) {
            return modules.map(module -> module.resolve(file))
                    .filter(Files::exists)
                    .findFirst()
                    .orElse(null);
        }
    }

    private static boolean declares(Path source, String member) throws IOException {
        return Pattern.compile("\\b" + member + "\\b(?:\\(| =|;|,)| (?:class|record|enum|interface) " + member + "\\b")
                .matcher(Files.readString(source))
                .find();
    }
}
