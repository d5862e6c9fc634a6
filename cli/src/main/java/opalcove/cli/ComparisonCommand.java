package opalcove.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.List;
import java.util.concurrent.Callable;
import opalcove.laboratory.ComparisonBenchmark;
import opalcove.laboratory.Meter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "pair",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description = "Runs programs alternately against the same backends and load, and compares their CPU time,"
                + " start time and memory.")
final class ComparisonCommand implements Callable<Integer> {
    @Mixin
    private LoadOptions options;

    @Parameters(
            arity = "1..*",
            paramLabel = "COMMAND",
            description = "the command that starts each program, as one argument, such as"
                    + " 'java -jar target/opalcove-gateway.jar serve'; relay stands for a program that"
                    + " only forwards bytes")
    private List<String> commands;

    @Option(
            names = "--rounds",
            paramLabel = "N",
            defaultValue = "3",
            description = "runs of each program (default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(
            names = "--value",
            paramLabel = "BYTES",
            defaultValue = "16",
            description = "length of a backend's response (default: ${DEFAULT-VALUE})")
    private int valueBytes;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "12",
            description = "backends in the list (default: ${DEFAULT-VALUE})")
    private int backends;

    @Option(
            names = "--work",
            paramLabel = "MS",
            defaultValue = "5",
            description = "time that a backend takes (default: ${DEFAULT-VALUE})")
    private long workMs;

    @Option(
            names = "--warm",
            paramLabel = "N",
            defaultValue = "8000",
            description = "requests before the measurement (default: ${DEFAULT-VALUE})")
    private int warmUpRequests;

    @Option(names = "--json", description = "print one object per program")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        List<ComparisonBenchmark.Runs> results = new ComparisonBenchmark(
                        commands,
                        options.plan("127.0.0.1", 0),
                        new Meter.Nodes(backends, valueBytes, workMs),
                        warmUpRequests)
                .run(rounds, System.err::println);
        for (ComparisonBenchmark.Runs program : results) {
            double cpuUs = ComparisonBenchmark.Runs.median(program.cpuUs());
            double shareOfFirst =
                    cpuUs / ComparisonBenchmark.Runs.median(results.get(0).cpuUs());
            if (json) {
                JsonObject line = Json.object()
                        .add("program", program.name())
                        .add("cpu_us_an_ask", cpuUs)
                        .add("share_of_first", shareOfFirst)
                        .add("start_ms", ComparisonBenchmark.Runs.median(program.startMs()))
                        .add("memory_mb", ComparisonBenchmark.Runs.median(program.memoryMb()));
                System.out.println(line);
            } else {
                System.out.printf(
                        "%7.1f us an ask (%.2f of the first)  start %.0f ms  memory %.0f MB  runs %s  %s%n",
                        cpuUs,
                        shareOfFirst,
                        ComparisonBenchmark.Runs.median(program.startMs()),
                        ComparisonBenchmark.Runs.median(program.memoryMb()),
                        program.cpuUs().stream()
                                .map(run -> String.format("%.1f", run))
                                .toList(),
                        program.name());
            }
        }
        return 0;
    }
}
