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
        description = "Runs programs in turns against the same backend and load, and compares CPU time, start and"
                + " memory.")
final class ComparisonCommand implements Callable<Integer> {
    @Mixin
    private LoadOptions options;

    @Parameters(
            arity = "1..*",
            paramLabel = "COMMAND",
            description = "how each is started, as one word, such as"
                    + " 'java -jar target/opalcove-gateway.jar serve'; relay stands for a bare relay of bytes")
    private List<String> commands;

    @Option(names = "--rounds", paramLabel = "N", defaultValue = "3", description = "(default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--value", paramLabel = "BYTES", defaultValue = "16", description = "(default: ${DEFAULT-VALUE})")
    private int value;

    @Option(names = "--nodes", paramLabel = "N", defaultValue = "12", description = "(default: ${DEFAULT-VALUE})")
    private int nodes;

    @Option(names = "--work", paramLabel = "MS", defaultValue = "5", description = "(default: ${DEFAULT-VALUE})")
    private long work;

    @Option(names = "--warm", paramLabel = "N", defaultValue = "8000", description = "(default: ${DEFAULT-VALUE})")
    private int warm;

    @Option(names = "--json", description = "print one object a program")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        List<ComparisonBenchmark.Runs> all = new ComparisonBenchmark(
                        commands, options.plan("127.0.0.1", 0), new Meter.Nodes(nodes, value, work), warm)
                .run(rounds, System.err::println);
        for (ComparisonBenchmark.Runs each : all) {
            double cpu = ComparisonBenchmark.Runs.median(each.cpuUs());
            double share = cpu / ComparisonBenchmark.Runs.median(all.get(0).cpuUs());
            if (json) {
                JsonObject line = Json.object()
                        .add("program", each.name())
                        .add("cpu_us_an_ask", cpu)
                        .add("share_of_first", share)
                        .add("start_ms", ComparisonBenchmark.Runs.median(each.startMs()))
                        .add("memory_mb", ComparisonBenchmark.Runs.median(each.memoryMb()));
                System.out.println(line);
            } else {
                System.out.printf(
                        "%7.1f us an ask (%.2f of the first)  start %.0f ms  memory %.0f MB  runs %s  %s%n",
                        cpu,
                        share,
                        ComparisonBenchmark.Runs.median(each.startMs()),
                        ComparisonBenchmark.Runs.median(each.memoryMb()),
                        each.cpuUs().stream()
                                .map(run -> String.format("%.1f", run))
                                .toList(),
                        each.name());
            }
        }
        return 0;
    }
}
