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
                        + " responds to PING.")
final class StartupBenchmarkCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "COMMAND",
            description = "the command that starts one gateway, as one argument, such as"
                    + " 'java -jar target/opalcove-gateway.jar serve'")
    private String command;

    @Option(
            names = "--gateways",
            paramLabel = "N",
            defaultValue = "30",
            description = "number of gateways (default: ${DEFAULT-VALUE})")
    private int gateways;

    @Option(
            names = "--away",
            paramLabel = "HOW",
            defaultValue = "SILENT",
            description =
                    "SILENT: the agent that pushes the lists sends nothing; REFUSED: the service that is polled for"
                            + " the lists refuses connections (default: ${DEFAULT-VALUE})")
    private StartupBenchmark.Outage outage;

    @Option(names = "--json", description = "print one object")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        List<StartupBenchmark.Start> starts;
        try (StartupBenchmark benchmark =
                new StartupBenchmark(Arrays.asList(command.trim().split("\\s+")), outage)) {
            starts = benchmark.run(gateways).stream()
                    .sorted(Comparator.comparingDouble(StartupBenchmark.Start::readyMs))
                    .toList();
        }
        double cpuMs = starts.stream()
                .mapToDouble(StartupBenchmark.Start::processorMs)
                .average()
                .orElse(0);
        if (json) {
            JsonObject line = Json.object()
                    .add("gateways", gateways)
                    .add("ready_p50_ms", readyMs(starts, 0.5))
                    .add("ready_p90_ms", readyMs(starts, 0.9))
                    .add("ready_max_ms", readyMs(starts, 1))
                    .add("processor_ms", cpuMs);
            System.out.println(line);
        } else {
            System.out.printf(
                    "%d gateways ready after: p50 %.0f ms  p90 %.0f ms  max %.0f ms; processor %.0f ms each%n",
                    gateways, readyMs(starts, 0.5), readyMs(starts, 0.9), readyMs(starts, 1), cpuMs);
            System.out.println(
                    "the median one: " + starts.get(rank(starts.size(), 0.5)).phases());
            System.out.println(
                    "the last one:   " + starts.get(starts.size() - 1).phases());
        }
        return 0;
    }

    /** Returns the time in milliseconds within which the given share of the gateways was ready. */
    private static double readyMs(List<StartupBenchmark.Start> sorted, double share) {
        return sorted.get(rank(sorted.size(), share)).readyMs();
    }

    private static int rank(int count, double share) {
        return (int) Math.ceil(share * count) - 1;
    }
}
