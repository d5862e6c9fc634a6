package opalcove.cli;

import java.util.concurrent.Callable;
import opalcove.laboratory.coldstart.SlowStartPlan;
import opalcove.laboratory.coldstart.SlowStartReport;
import opalcove.laboratory.coldstart.SlowStartRule;
import opalcove.laboratory.coldstart.SlowStartTrial;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the model of backends in slow start. */
@Command(
        name = "cold-start-trial",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description = "Simulates many gateways and backends in slow start in virtual time, and reports how many"
                + " backends are overloaded by the total load of the gateways, and which share of the"
                + " allowed work is used.")
final class SlowStartTrialCommand implements Callable<Integer> {
    @Option(names = "--gateways", defaultValue = "30", description = "number of gateways (default: ${DEFAULT-VALUE})")
    private int gateways;

    @Option(names = "--seeds", defaultValue = "100", description = "number of seeds (default: ${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--seed", defaultValue = "1", description = "the first seed (default: ${DEFAULT-VALUE})")
    private long firstSeed;

    @Option(
            names = "--overload-factor",
            defaultValue = "2.5",
            description = "multiple of its current capacity that a backend in slow start tolerates"
                    + " (default: ${DEFAULT-VALUE})")
    private double overloadFactor;

    @Option(
            names = "--fall-ms",
            defaultValue = "3000",
            description =
                    "length in milliseconds of the window over which its load is summed (default: ${DEFAULT-VALUE})")
    private double fallMs;

    @Option(
            names = "--cold-from",
            defaultValue = "0.17",
            description = "share of its capacity at the start (default: ${DEFAULT-VALUE})")
    private double slowStartShare;

    @Option(
            names = "--warm-after-ms",
            defaultValue = "18000",
            description = "time in milliseconds until the full capacity (default: ${DEFAULT-VALUE})")
    private double warmAfterMs;

    @Option(names = "--each", description = "also print a line for each seed")
    private boolean each;

    @Option(names = "--json", description = "print an object")
    private boolean json;

    @Override
    public Integer call() {
        SlowStartRule rule = new SlowStartRule(overloadFactor, fallMs, slowStartShare, warmAfterMs);
        SlowStartTrial trial = SlowStartTrial.play(new SlowStartPlan(gateways, rule, firstSeed, seeds));
        if (json) {
            System.out.println(trial.json());
            return 0;
        }
        if (each) {
            trial.reports().stream().map(SlowStartReport::line).forEach(System.out::println);
        }
        System.out.println(trial.line());
        return 0;
    }
}
