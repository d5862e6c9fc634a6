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

/** Checks that the types and members named in docs/architecture.md exist, so that the page does not become outdated. */
public class ArchitecturePageTest {
    private static final Path PAGE = Path.of("docs/architecture.md");
    /** Matches a type with its package, such as {@code core/AttemptGuard}, and optionally a member. */
    private static final Pattern NAMED_TYPE = Pattern.compile("`((?:[a-z]+/)+[A-Z]\\w*)(?:\\.(\\w+))?`");
    /** The heading of the last section, which lists former names of types and is not checked. */
    private static final String FORMER_NAMES_HEADING = "### Types renamed";

    @Test
    public void pageNamesOnlyTypesAndMembersThatExist() throws IOException {
        String page = Files.readString(PAGE);
        String checkedText = page.substring(0, page.indexOf(FORMER_NAMES_HEADING));
        List<String> missing = new ArrayList<>();
        int nameCount = 0;
        for (Matcher match = NAMED_TYPE.matcher(checkedText); match.find(); nameCount++) {
            Path source = findSource(match.group(1));
            if (source == null) {
                missing.add(match.group(1));
            } else if (match.group(2) != null && !declares(source, match.group(2))) {
                missing.add(match.group(1) + "." + match.group(2));
            }
        }
        assertTrue(nameCount > 80, "the page names only " + nameCount);
        assertTrue(missing.isEmpty(), "not in the code: " + missing);
    }

    private static Path findSource(String type) throws IOException {
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
