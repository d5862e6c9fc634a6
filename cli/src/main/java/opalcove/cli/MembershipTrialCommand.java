package opalcove.cli;

import com.eclipsesource.json.JsonArray;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import opalcove.laboratory.MembershipTrial;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "membership-trial",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description =
                "Starts so many gateways on this machine, crashes, stops and restarts them in turn behind a proxy that"
                        + " loses messages, and reports how soon all know; beside it, the result of the model in virtual time.")
final class MembershipTrialCommand implements Callable<Integer> {
    @Option(names = "--members", defaultValue = "8", description = "gateways (default: ${DEFAULT-VALUE})")
    private int members;

    @Option(names = "--probe-ms", defaultValue = "500", description = "the probe period (default: ${DEFAULT-VALUE})")
    private int probeMs;

    @Option(names = "--rounds", defaultValue = "3", description = "crashes, and leaves (default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--seed", defaultValue = "1", description = "of the faults (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--loss", defaultValue = "0", description = "share of messages lost (default: ${DEFAULT-VALUE})")
    private double loss;

    @Option(names = "--rest-ms", defaultValue = "10000", description = "idle time in which messages are counted")
    private long restMs;

    @Option(
            names = "--soak-s",
            defaultValue = "0",
            description =
                    "seconds of pauses of three probe periods, one member"
                            + " after another, before the rounds; deaths reported meanwhile are false (default: ${DEFAULT-VALUE})")
    private long soakS;

    @Option(names = "--model-only", description = "no processes, the model alone")
    private boolean modelOnly;

    @Option(names = "--json", description = "print a list of objects")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        MembershipTrial.Plan plan =
                new MembershipTrial.Plan(members, probeMs, rounds, seed, loss, restMs, soakS * 1000);
        List<MembershipTrial.Report> reports = new ArrayList<>();
        reports.add(MembershipTrial.model(plan));
        if (!modelOnly) {
            reports.add(MembershipTrial.cluster(plan));
        }
        if (json) {
            JsonArray list = new JsonArray();
            reports.forEach(each -> list.add(each.json()));
            System.out.println(list);
        } else {
            reports.forEach(each -> System.out.println(each.line()));
        }
        return 0;
    }
}
