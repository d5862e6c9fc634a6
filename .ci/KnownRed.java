import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Compares the results of a test run with the known failures in KNOWN-RED.txt: {@code java .ci/KnownRed.java ROOT}.
 * Each entry of that file is one line, {@code CASE | COMMAND AND SEED | WHAT WAS SEEN | ISSUE}. CASE is a test as the
 * Surefire reports name it (class, dot, name), or {@code soak: } followed by the name of a soak case, which is printed
 * and does not have to be a test. Exits with 0 if no test outside the list failed; the listed tests may fail or pass.
 * Exits with 1 if any other test failed, if an entry is malformed or duplicated, if a listed test was not run, or if no
 * test was run.
 */
final class KnownRed {
    private static final String SOAK_CASE = "soak: ";
    private static final int FIELD_COUNT = 4;
    private static final int MAX_LINE_LENGTH = 600;

    private KnownRed() {}

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        List<String> errors = new ArrayList<>();
        Map<String, String> knownFailures = readKnownFailures(root.resolve("KNOWN-RED.txt"), errors);
        Map<String, Boolean> failedByTest = readResults(root);
        if (failedByTest.isEmpty()) {
            errors.add("no test was run");
        }
        knownFailures.forEach((name, line) -> {
            Boolean failed = failedByTest.get(name);
            if (name.startsWith(SOAK_CASE)) {
                System.out.println("known red, not a test of this run: " + line);
            } else if (failed == null) {
                errors.add("KNOWN-RED.txt names no test that was run: " + line);
            } else {
                System.out.println((failed ? "known red: " : "known red, but green in this run: ") + line);
            }
        });
        failedByTest.forEach((test, failed) -> {
            if (failed && !knownFailures.containsKey(test)) {
                errors.add("failed: " + test);
            }
        });
        errors.forEach(System.out::println);
        System.exit(errors.isEmpty() ? 0 : 1);
    }

    private static Map<String, String> readKnownFailures(Path file, List<String> errors) throws IOException {
        Map<String, String> knownFailures = new LinkedHashMap<>();
        List<String> lines = Files.readAllLines(file).stream()
                .filter(line -> !line.isBlank())
                .toList();
        for (String line : lines) {
            String[] fields = line.split("\\|", -1);
            if (fields.length != FIELD_COUNT
                    || Stream.of(fields).anyMatch(String::isBlank)
                    || !fields[FIELD_COUNT - 1].strip().matches("\\d+")
                    || line.length() > MAX_LINE_LENGTH) {
                errors.add("KNOWN-RED.txt: not CASE | COMMAND AND SEED | WHAT WAS SEEN | ISSUE, in " + MAX_LINE_LENGTH
                        + " characters: " + line);
            } else if (knownFailures.put(fields[0].strip(), line) != null) {
                errors.add("KNOWN-RED.txt: twice: " + line);
            }
        }
        return knownFailures;
    }

    /** Maps each test that was run to whether it failed. */
    private static Map<String, Boolean> readResults(Path root) throws Exception {
        Map<String, Boolean> failedByTest = new TreeMap<>();
        List<Path> reports;
        try (Stream<Path> files = Files.find(
                root,
                5,
                (path, attributes) -> path.getFileName().toString().matches("TEST-.*\\.xml")
                        && path.getParent().endsWith("target/surefire-reports"))) {
            reports = files.sorted().toList();
        }
        for (Path report : reports) {
            NodeList testCases = DocumentBuilderFactory.newInstance()
                    .newDocumentBuilder()
                    .parse(report.toFile())
                    .getElementsByTagName("testcase");
            for (int i = 0; i < testCases.getLength(); i++) {
                Element testCase = (Element) testCases.item(i);
                boolean failed = testCase.getElementsByTagName("failure").getLength() > 0
                        || testCase.getElementsByTagName("error").getLength() > 0;
                failedByTest.merge(
                        testCase.getAttribute("classname") + "." + testCase.getAttribute("name"),
                        failed,
                        Boolean::logicalOr);
            }
        }
        return failedByTest;
    }
}
