package opalcove.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import opalcove.laboratory.soak.Coverage;
import opalcove.laboratory.soak.FaultCase;
import opalcove.laboratory.soak.FaultType;
import opalcove.laboratory.soak.Soak;
import opalcove.laboratory.soak.SoakPlan;
import opalcove.laboratory.soak.SoakResult;
import opalcove.laboratory.soak.SoakRule;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description =
                "Injects randomized faults that overlap in time on real gateway and backend processes, and judges the"
                        + " invariants by what clients, backends' connections and discovery saw. Exits with 1 where one was broken.")
final class SoakCommand implements Callable<Integer> {
    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "the first seed (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "1",
            description = "how many seeds in a row (default: ${DEFAULT-VALUE})")
    private int seeds;

    @Option(
            names = "--parallel",
            paramLabel = "N",
            defaultValue = "1",
            description = "runs at a time (default: ${DEFAULT-VALUE})")
    private int parallel;

    @Option(names = "--gateways", paramLabel = "N", defaultValue = "0", description = "0: drawn (default)")
    private int gateways;

    @Option(names = "--backends", paramLabel = "N", defaultValue = "0", description = "0: drawn (default)")
    private int backends;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "12",
            description = "of traffic (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--without", paramLabel = "N", split = ",", description = "numbers of faults that are left out")
    private Set<Integer> without = Set.of();

    @Option(names = "--cases", description = "play each fault of the machine alone, and print a table of them")
    private boolean cases;

    @Option(names = "--program", paramLabel = "JAR", description = "the gateway program (default: this one)")
    private Path program;

    @Option(
            names = "--kinds",
            paramLabel = "KIND",
            split = ",",
            description = "the types that faults are drawn from (default: all)")
    private List<FaultType> kinds = List.of(FaultType.values());

    @Option(names = "--except", paramLabel = "KIND", split = ",", description = "types of faults that are left out")
    private Set<FaultType> except = Set.of();

    @Option(names = "--shrink", paramLabel = "RULE", description = "leave out faults while this rule is still broken")
    private SoakRule shrink;

    @Option(
            names = "--folder",
            paramLabel = "DIR",
            description = "where logs of runs that failed stay (default: a new one)")
    private Path folder;

    @Option(names = "--keep-logs", description = "keep the logs of runs that held, too")
    private boolean keepLogs;

    @Override
    public Integer call() throws Exception {
        Path files = folder == null ? Files.createTempDirectory("soak") : folder;
        Soak soak = program == null ? new Soak(files) : new Soak(files, program.toString());
        if (!soak.hasShim()) {
            System.out.println("no C compiler was found: no system calls are failed in these runs");
        }
        if (cases) {
            System.out.println(FaultCase.Outcome.head());
            for (FaultCase each : FaultCase.values()) {
                System.out.println(each.play(soak, seed, seconds * 1000).row());
            }
            return 0;
        }
        if (shrink != null) {
            System.out.print(soak.shrink(plan(seed), shrink).text());
            return 0;
        }
        return playAll(soak) == 0 ? 0 : 1;
    }

    private SoakPlan plan(long planned) {
        SoakPlan whole = SoakPlan.of(planned, new SoakPlan.Size(gateways, backends, seconds * 1000), kinds);
        return whole.with(whole.faults().stream()
                .filter(fault -> !except.contains(fault.kind()) && !without.contains(fault.number()))
                .toList());
    }

    /** Gives how many seeds failed. */
    private int playAll(Soak soak) throws Exception {
        Coverage coverage = new Coverage();
        ExecutorService runs = Executors.newFixedThreadPool(parallel);
        List<Future<SoakResult>> results = new ArrayList<>();
        for (long each = seed; each < seed + seeds; each++) {
            SoakPlan plan = plan(each);
            results.add(runs.submit(() -> soak.run(plan, keepLogs)));
        }
        int failed = 0;
        for (Future<SoakResult> each : results) {
            SoakResult result;
            try {
                result = each.get();
            } catch (ExecutionException e) {
                failed++;
                System.out.println("a run could not be played to its end: " + e.getCause());
                continue;
            }
            coverage.add(result.made());
            if (!result.violations().isEmpty()) {
                failed++;
                System.out.print(result.plan().text());
            }
            System.out.print(result.text());
        }
        runs.shutdown();
        System.out.print(coverage.text());
        System.out.printf("%d of %d seeds failed%n", failed, seeds);
        return failed;
    }
}
