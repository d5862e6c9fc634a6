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
                "Starts gateways on this machine, crashes, stops and restarts them one after another behind a proxy"
                        + " that loses messages, and reports how long it takes until all members know,"
                        + " together with the result of the model in virtual time.")
final class MembershipTrialCommand implements Callable<Integer> {
    @Option(names = "--members", defaultValue = "8", description = "number of gateways (default: ${DEFAULT-VALUE})")
    private int members;

    @Option(
            names = "--probe-ms",
            defaultValue = "500",
            description = "probe period in milliseconds (default: ${DEFAULT-VALUE})")
    private int probeMs;

    @Option(
            names = "--rounds",
            defaultValue = "3",
            description = "number of crashes, and of leaves (default: ${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--seed", defaultValue = "1", description = "seed of the faults (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--loss",
            defaultValue = "0",
            description = "share of messages that are lost (default: ${DEFAULT-VALUE})")
    private double loss;

    @Option(
            names = "--rest-ms",
            defaultValue = "10000",
            description = "idle time in milliseconds during which messages are counted")
    private long restMs;

    @Option(
            names = "--soak-s",
            defaultValue = "0",
            description = "seconds before the rounds in which one member after another is paused"
                    + " for three probe periods; each death reported meanwhile is a false one"
                    + " (default: ${DEFAULT-VALUE})")
    private long soakS;

    @Option(names = "--model-only", description = "run only the model, without processes")
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
            reports.forEach(report -> list.add(report.json()));
            System.out.println(list);
        } else {
            reports.forEach(report -> System.out.println(report.line()));
        }
        return 0;
    }
}
