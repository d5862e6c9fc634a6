package opalcove.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import opalcove.laboratory.StartupBenchmark;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "starts",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description =
                "Starts many gateways at once while discovery is unreachable, and reports how long each takes until it"
                        + " answers PING.")
final class StartupBenchmarkCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "COMMAND",
            description = "how one gateway is started, as one word, such as"
                    + " 'java -jar target/opalcove-gateway.jar serve'")
    private String command;

    @Option(names = "--gateways", paramLabel = "N", defaultValue = "30", description = "(default: ${DEFAULT-VALUE})")
    private int gateways;

    @Option(
            names = "--away",
            paramLabel = "HOW",
            defaultValue = "SILENT",
            description = "SILENT: lists are pushed, and the agent sends nothing; REFUSED: one service is polled for"
                    + " lists, and refuses connections (default: ${DEFAULT-VALUE})")
    private StartupBenchmark.Outage outage;

    @Option(names = "--json", description = "print one object")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        List<StartupBenchmark.Start> starts;
        try (StartupBenchmark rig =
                new StartupBenchmark(Arrays.asList(command.trim().split("\\s+")), outage)) {
            starts = rig.run(gateways).stream()
                    .sorted(Comparator.comparingDouble(StartupBenchmark.Start::readyMs))
                    .toList();
        }
        double processor = starts.stream()
                .mapToDouble(StartupBenchmark.Start::processorMs)
                .average()
                .orElse(0);
        if (json) {
            JsonObject line = Json.object()
                    .add("gateways", gateways)
                    .add("ready_p50_ms", ready(starts, 0.5))
                    .add("ready_p90_ms", ready(starts, 0.9))
                    .add("ready_max_ms", ready(starts, 1))
                    .add("processor_ms", processor);
            System.out.println(line);
        } else {
            System.out.printf(
                    "%d gateways ready after: p50 %.0f ms  p90 %.0f ms  max %.0f ms; processor %.0f ms each%n",
                    gateways, ready(starts, 0.5), ready(starts, 0.9), ready(starts, 1), processor);
            System.out.println(
                    "the median one: " + starts.get(rank(starts.size(), 0.5)).phases());
            System.out.println(
                    "the last one:   " + starts.get(starts.size() - 1).phases());
        }
        return 0;
    }

    /** The time within which that share of the gateways was ready, ms. */
    private static double ready(List<StartupBenchmark.Start> sorted, double share) {
        return sorted.get(rank(sorted.size(), share)).readyMs();
    }

    private static int rank(int count, double share) {
        return (int) Math.ceil(share * count) - 1;
    }
}
