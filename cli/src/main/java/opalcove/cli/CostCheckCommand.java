package opalcove.cli;

import com.eclipsesource.json.Json;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import opalcove.laboratory.CostRegressionCheck;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "guard",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description =
                "Measures the cost of a request and compares it with a baseline: exits with 1 if a count has grown by"
                        + " more than 5%%. The build runs the same check.")
final class CostCheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the baseline file, such as laboratory/baseline.json")
    private Path file;

    @Option(names = "--write", description = "write the measured counts as the new baseline")
    private boolean write;

    @Option(names = "--json", description = "print the counts as an object")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        Map<String, Map<String, Double>> counts = CostRegressionCheck.count(System.err::println);
        if (json) {
            System.out.print(CostRegressionCheck.write(counts));
        }
        if (write) {
            Files.writeString(file, CostRegressionCheck.write(counts));
            return 0;
        }
        List<String> grown =
                CostRegressionCheck.grown(Json.parse(Files.readString(file)).asObject(), counts);
        grown.forEach(System.err::println);
        if (!json && grown.isEmpty()) {
            System.out.println("no count has grown by more than 5%");
        }
        return grown.isEmpty() ? 0 : 1;
    }
}
