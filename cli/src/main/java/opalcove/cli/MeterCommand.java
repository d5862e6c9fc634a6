package opalcove.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.concurrent.Callable;
import opalcove.laboratory.LoadPlan;
import opalcove.laboratory.Meter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(
        name = "meter",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description = "Measures the cost of a request in a gateway: allocations, system calls, copies and CPU time.")
final class MeterCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Mixin
    private LoadOptions options;

    @Option(
            names = "--value",
            paramLabel = "BYTES",
            defaultValue = "16",
            description = "length of a backend's response" + " (default: ${DEFAULT-VALUE})")
    private int valueBytes;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "12",
            description = "backends in the list" + " (default: ${DEFAULT-VALUE})")
    private int backends;

    @Option(
            names = "--work",
            paramLabel = "MS",
            defaultValue = "0",
            description = "time that a backend takes" + " (default: ${DEFAULT-VALUE})")
    private long workMs;

    @Option(
            names = "--lockstep",
            description = "let the event loop poll its sockets only when load and backends have no more work to do:"
                    + " the batches are then the same in each run, and as large as possible")
    private boolean lockstep;

    @Option(
            names = "--warm",
            paramLabel = "N",
            defaultValue = "20000",
            description = "requests before the measurement" + " (default: ${DEFAULT-VALUE})")
    private int warmUpRequests;

    @Option(names = "--classes", description = "also report objects by class")
    private boolean classes;

    @Option(names = "--verify", description = "measure again with strace attached, and print the difference")
    private boolean verify;

    @Option(names = "--json", description = "print one object")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        if (lockstep && verify) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "--verify and --lockstep cannot be combined: --verify would also count the"
                            + " system calls of --lockstep");
        }
        LoadPlan plan = options.plan("127.0.0.1", 0);
        try (Meter meter = new Meter(
                plan, new Meter.Nodes(backends, valueBytes, workMs), lockstep, warmUpRequests, System.err::println)) {
            Meter.Costs costs = meter.measure(plan.requests(), classes);
            JsonObject report = costs.json();
            if (!json) {
                System.out.print(table(costs));
            }
            if (verify) {
                JsonObject checks = Json.object();
                for (Meter.Check check : meter.verify(plan.requests())) {
                    checks.add(
                            check.what(),
                            Json.object().add("meter", check.meter()).add("strace", check.strace()));
                    if (!json) {
                        System.out.printf(
                                "%-6s meter %.3f  strace %.3f  difference %+.3f%n",
                                check.what(), check.meter(), check.strace(), check.meter() - check.strace());
                    }
                }
                report.add("verified", checks);
            }
            if (json) {
                System.out.println(report);
            }
        }
        return 0;
    }

    private static String table(Meter.Costs costs) {
        StringBuilder text = new StringBuilder(String.format(
                "an ask costs: allocated %.0f bytes%s, reads %.3f, writes"
                        + " %.3f, waits %.3f, tasks %.3f, copied once more on the way out %.0f bytes, processor %.1f us%n",
                costs.allocatedBytes(),
                costs.classes().isEmpty()
                        ? ""
                        : String.format(" in %.1f objects, timers %.3f", costs.objects(), costs.timers()),
                costs.reads(),
                costs.writes(),
                costs.waits(),
                costs.tasks(),
                costs.copiedOutBytes(),
                costs.cpuUs()));
        costs.classes().entrySet().stream()
                .sorted((a, b) -> Double.compare(b.getValue()[1], a.getValue()[1]))
                .limit(45)
                .forEach(entry -> text.append(String.format(
                        "%9.0f bytes %7.2f objects  %s%n", entry.getValue()[1], entry.getValue()[0], entry.getKey())));
        return text.append(costs.load().table()).toString();
    }
}
