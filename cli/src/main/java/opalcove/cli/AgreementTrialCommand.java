package opalcove.cli;

import com.eclipsesource.json.JsonArray;
import java.util.concurrent.Callable;
import opalcove.laboratory.AgreementTrial;
import opalcove.laboratory.VoterSoak;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "agreement-trial",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description =
                "Starts gateways with a replicated configuration on this machine and reports how long it takes until"
                        + " all of them apply a new version, together with the result of the model in virtual time."
                        + " With --faults, runs with random faults: pauses, one-way and two-way partitions, lost"
                        + " messages, a kill; exits with 1 if contradictory configurations were in use for longer"
                        + " than the lease.")
final class AgreementTrialCommand implements Callable<Integer> {
    @Option(names = "--gateways", defaultValue = "7", description = "number of gateways (default: ${DEFAULT-VALUE})")
    private int gateways;

    @Option(
            names = "--lease-ms",
            defaultValue = "2000",
            description = "lease in milliseconds (default: ${DEFAULT-VALUE})")
    private int leaseMs;

    @Option(names = "--rounds", defaultValue = "10", description = "number of proposals (default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--seed", defaultValue = "1", description = "seed of the faults (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--faults",
            defaultValue = "0",
            description = "number of runs with random faults, with consecutive seeds from --seed,"
                    + " instead of rounds (default: ${DEFAULT-VALUE})")
    private int faults;

    @Option(
            names = "--voter-faults",
            defaultValue = "0",
            description = "number of runs with faults on the voters, with consecutive seeds from --seed: kills, usually"
                    + " of the leader, pauses, storage folders that fail; exits with 1 if a majority did not decide"
                    + " within 10 s, an accepted version was lost or contradictory configurations were in use for"
                    + " longer than the lease (default: ${DEFAULT-VALUE})")
    private int voterFaults;

    @Option(names = "--model-only", description = "run only the model, without processes")
    private boolean modelOnly;

    @Option(names = "--json", description = "print a list of objects")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        AgreementTrial.Plan plan = new AgreementTrial.Plan(gateways, leaseMs, rounds, seed);
        JsonArray list = new JsonArray();
        boolean passed = runVoterFaults(list);
        for (long runSeed = seed; runSeed < seed + faults; runSeed++) {
            AgreementTrial.FaultRun run =
                    modelOnly ? AgreementTrial.modelFaults(plan, runSeed) : AgreementTrial.clusterFaults(plan, runSeed);
            passed &= run.wrong().isEmpty();
            list.add(run.json());
            if (!json) {
                System.out.println(run);
            }
        }
        if (faults == 0 && voterFaults == 0) {
            AgreementTrial.Report model = AgreementTrial.model(plan);
            list.add(model.json());
            if (!json) {
                System.out.println(model.line());
            }
            if (!modelOnly) {
                AgreementTrial.Report rig = AgreementTrial.cluster(plan);
                list.add(rig.json());
                if (!json) {
                    System.out.println(rig.line());
                }
            }
        }
        if (json) {
            System.out.println(list.toString());
        }
        return passed ? 0 : 1;
    }

    /** Runs the faults on the voters and returns whether no rule was violated. */
    private boolean runVoterFaults(JsonArray list) throws Exception {
        boolean passed = true;
        for (long runSeed = seed; runSeed < seed + voterFaults; runSeed++) {
            VoterSoak.Result result = VoterSoak.run(new VoterSoak.Plan(runSeed, rounds, leaseMs));
            passed &= result.violations().isEmpty();
            list.add(result.json());
            if (!json) {
                System.out.print(result.text());
            }
        }
        return passed;
    }
}
