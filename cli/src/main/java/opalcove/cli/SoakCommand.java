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
                "Injects randomized faults that overlap in time into real gateway and backend processes, and checks the"
                        + " invariants against the observations of clients, backend connections and discovery."
                        + " Exits with 1 if one was violated.")
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
            description = "number of consecutive seeds (default: ${DEFAULT-VALUE})")
    private int seeds;

    @Option(
            names = "--parallel",
            paramLabel = "N",
            defaultValue = "1",
            description = "number of runs at the same time (default: ${DEFAULT-VALUE})")
    private int parallel;

    @Option(
            names = "--gateways",
            paramLabel = "N",
            defaultValue = "0",
            description = "number of gateways; 0: random (default)")
    private int gateways;

    @Option(
            names = "--backends",
            paramLabel = "N",
            defaultValue = "0",
            description = "number of backends; 0: random (default)")
    private int backends;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "12",
            description = "seconds of traffic (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--without", paramLabel = "N", split = ",", description = "numbers of faults that are left out")
    private Set<Integer> without = Set.of();

    @Option(names = "--cases", description = "run each fault of the machine alone, and print a table of the results")
    private boolean cases;

    @Option(names = "--program", paramLabel = "JAR", description = "the gateway program (default: this one)")
    private Path program;

    @Option(
            names = "--kinds",
            paramLabel = "KIND",
            split = ",",
            description = "the types from which faults are chosen (default: all)")
    private List<FaultType> kinds = List.of(FaultType.values());

    @Option(names = "--except", paramLabel = "KIND", split = ",", description = "types of faults that are left out")
    private Set<FaultType> except = Set.of();

    @Option(
            names = "--shrink",
            paramLabel = "RULE",
            description = "remove faults as long as this rule is still violated")
    private SoakRule shrink;

    @Option(
            names = "--folder",
            paramLabel = "DIR",
            description = "the folder for the logs of failed runs (default: a new one)")
    private Path folder;

    @Option(names = "--keep-logs", description = "also keep the logs of runs that passed")
    private boolean keepLogs;

    @Override
    public Integer call() throws Exception {
        Path files = folder == null ? Files.createTempDirectory("soak") : folder;
        Soak soak = program == null ? new Soak(files) : new Soak(files, program.toString());
        if (!soak.hasShim()) {
            System.out.println("no C compiler was found: these runs inject no failures of system calls");
        }
        if (cases) {
            System.out.println(FaultCase.Outcome.head());
            for (FaultCase faultCase : FaultCase.values()) {
                System.out.println(faultCase.play(soak, seed, seconds * 1000).row());
            }
            return 0;
        }
        if (shrink != null) {
            System.out.print(soak.shrink(plan(seed), shrink).text());
            return 0;
        }
        return runAll(soak) == 0 ? 0 : 1;
    }

    private SoakPlan plan(long runSeed) {
        SoakPlan complete = SoakPlan.of(runSeed, new SoakPlan.Size(gateways, backends, seconds * 1000), kinds);
        return complete.with(complete.faults().stream()
                .filter(fault -> !except.contains(fault.kind()) && !without.contains(fault.number()))
                .toList());
    }

    /** Runs all seeds and returns the number of seeds that failed. */
    private int runAll(Soak soak) throws Exception {
        Coverage coverage = new Coverage();
        ExecutorService executor = Executors.newFixedThreadPool(parallel);
        List<Future<SoakResult>> results = new ArrayList<>();
        for (long runSeed = seed; runSeed < seed + seeds; runSeed++) {
            SoakPlan plan = plan(runSeed);
            results.add(executor.submit(() -> soak.run(plan, keepLogs)));
        }
        int failed = 0;
        for (Future<SoakResult> future : results) {
            SoakResult result;
            try {
                result = future.get();
            } catch (ExecutionException e) {
                failed++;
                System.out.println("a run did not complete: " + e.getCause());
                continue;
            }
            coverage.add(result.made());
            if (!result.violations().isEmpty()) {
                failed++;
                System.out.print(result.plan().text());
            }
            System.out.print(result.text());
        }
        executor.shutdown();
        System.out.print(coverage.text());
        System.out.printf("%d of %d seeds failed%n", failed, seeds);
        return failed;
    }
}
