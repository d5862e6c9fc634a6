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
                "Counts what a request costs and compares it with a baseline: exits with 1 where a count has grown by"
                        + " more than 5%%. The build does the same.")
final class CostCheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the baseline, such as laboratory/baseline.json")
    private Path file;

    @Option(names = "--write", description = "write what is counted now as the new baseline")
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
