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
                "Starts gateways with a replicated configuration on this machine, and reports how soon all act on a new"
                        + " one; beside it, the result of the model in virtual time. With --faults, runs of random faults: pauses, partitions one"
                        + " way and both, lost messages, a kill; exits with 1 where a contradiction outlived the lease.")
final class AgreementTrialCommand implements Callable<Integer> {
    @Option(names = "--gateways", defaultValue = "7", description = "gateways (default: ${DEFAULT-VALUE})")
    private int gateways;

    @Option(names = "--lease-ms", defaultValue = "2000", description = "the lease (default: ${DEFAULT-VALUE})")
    private int leaseMs;

    @Option(names = "--rounds", defaultValue = "10", description = "proposals (default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--seed", defaultValue = "1", description = "of the faults (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--faults",
            defaultValue = "0",
            description = "runs of random faults, of the seeds from --seed on,"
                    + " instead of rounds (default: ${DEFAULT-VALUE})")
    private int faults;

    @Option(
            names = "--voter-faults",
            defaultValue = "0",
            description = "runs of faults on the voters, of the seeds from --seed on: kills, mostly of the leader,"
                    + " pauses, folders that fail; exits with 1 where a majority did not decide within 10 s, an"
                    + " accepted version was lost or a contradiction outlived the lease (default: ${DEFAULT-VALUE})")
    private int voterFaults;

    @Option(names = "--model-only", description = "no processes, the model alone")
    private boolean modelOnly;

    @Option(names = "--json", description = "print a list of objects")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        AgreementTrial.Plan plan = new AgreementTrial.Plan(gateways, leaseMs, rounds, seed);
        JsonArray list = new JsonArray();
        boolean held = soakVoters(list);
        for (long each = seed; each < seed + faults; each++) {
            AgreementTrial.FaultRun run =
                    modelOnly ? AgreementTrial.modelFaults(plan, each) : AgreementTrial.clusterFaults(plan, each);
            held &= run.wrong().isEmpty();
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
        return held ? 0 : 1;
    }

    /** Plays the runs of faults on the voters; whether all rules held. */
    private boolean soakVoters(JsonArray list) throws Exception {
        boolean held = true;
        for (long each = seed; each < seed + voterFaults; each++) {
            VoterSoak.Result result = VoterSoak.run(new VoterSoak.Plan(each, rounds, leaseMs));
            held &= result.violations().isEmpty();
            list.add(result.json());
            if (!json) {
                System.out.print(result.text());
            }
        }
        return held;
    }
}
