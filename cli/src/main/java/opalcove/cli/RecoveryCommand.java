package opalcove.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import opalcove.config.InvalidConfigurationException;
import opalcove.recovery.Recovery;
import opalcove.recovery.RecoveryConfig;
import opalcove.recovery.RecoveryPlan;
import opalcove.recovery.Snapshot;
import opalcove.replication.SnapshotFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "recovery",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description = "Shows what a gateway would do after a power loss.",
        subcommands = RecoveryCommand.PlanCommand.class)
final class RecoveryCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    @Command(
            name = "plan",
            mixinStandardHelpOptions = true,
            versionProvider = Opalcove.Version.class,
            description =
                    "Prints what a gateway that starts now with this snapshot would do, by the responses of the others.")
    static final class PlanCommand implements Callable<Integer> {
        @Parameters(paramLabel = "SNAPSHOT", description = "a gateway's snapshot_file")
        private Path file;

        @Option(
                names = "--agreed",
                paramLabel = "N",
                defaultValue = "-1",
                description = "the version in force according to the voters, 0 for none; without it, no voter responds")
        private long agreed;

        @Option(
                names = "--member",
                paramLabel = "NAME=S",
                description = "a gateway that is present, and for how many seconds it"
                        + " has run before this one's start; below 0 where it started after it")
        private Map<String, Double> members = Map.of();

        @Option(
                names = "--after",
                paramLabel = "S",
                defaultValue = "2",
                description = "time since the start (default: ${DEFAULT-VALUE})")
        private double afterS;

        @Option(
                names = "--meter-period",
                paramLabel = "MS",
                defaultValue = "2000",
                description = "the settings' meter period (default: ${DEFAULT-VALUE})")
        private long meterPeriodMs;

        @Option(names = "--json", description = "print one object")
        private boolean json;

        @Override
        public Integer call() {
            long started = System.currentTimeMillis();
            Snapshot snapshot = null;
            String whyNone = "";
            try {
                snapshot = SnapshotFile.read(file);
            } catch (IOException | InvalidConfigurationException e) {
                whyNone = e.getMessage();
            }
            Map<String, Long> fleet = new HashMap<>();
            members.forEach((name, seconds) -> fleet.put(name, started - Math.round(seconds * 1000)));
            RecoveryPlan plan = new Recovery(started, snapshot, whyNone, RecoveryConfig.of(meterPeriodMs))
                    .plan(started + Math.round(afterS * 1000), agreed, fleet);
            if (json) {
                System.out.println(Json.object()
                        .add("phase", plan.phase().name())
                        .add("ready", plan.isReady())
                        .add("quotas_held", plan.areBurstsRestricted())
                        .add("nodes_cold", plan.areBackendsWarmingUp())
                        .add("from_snapshot", plan.usesSnapshot())
                        .add("trusted", list(plan.trusted()))
                        .add("refused", list(plan.refused()))
                        .add("asked", list(plan.pending())));
                return 0;
            }
            System.out.println(plan.phase()
                    + (plan.isReady() ? ": clients are taken" : ": no clients yet")
                    + (plan.areBurstsRestricted() ? ", bursts are held" : "")
                    + (plan.areBackendsWarmingUp() ? ", all nodes are cold" : ""));
            plan.trusted().forEach(each -> System.out.println("trusted  " + each));
            plan.refused().forEach(each -> System.out.println("refused  " + each));
            plan.pending().forEach(each -> System.out.println("asked    " + each));
            return 0;
        }

        private static JsonArray list(List<String> lines) {
            JsonArray list = new JsonArray();
            lines.forEach(list::add);
            return list;
        }
    }
}
