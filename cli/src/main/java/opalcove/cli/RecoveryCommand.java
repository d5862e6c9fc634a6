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
                    "Prints what a gateway that starts now with this snapshot would do, given the responses of the"
                            + " others.")
    static final class PlanCommand implements Callable<Integer> {
        @Parameters(paramLabel = "SNAPSHOT", description = "the snapshot_file of a gateway")
        private Path file;

        @Option(
                names = "--agreed",
                paramLabel = "N",
                defaultValue = "-1",
                description = "the version in force according to the voters, 0 for none;"
                        + " without this option, no voter responds")
        private long agreed;

        @Option(
                names = "--member",
                paramLabel = "NAME=S",
                description = "a gateway that is present, and the seconds for which it"
                        + " had been running when this one started; negative if it started later")
        private Map<String, Double> members = Map.of();

        @Option(
                names = "--after",
                paramLabel = "S",
                defaultValue = "2",
                description = "seconds since the start (default: ${DEFAULT-VALUE})")
        private double afterS;

        @Option(
                names = "--meter-period",
                paramLabel = "MS",
                defaultValue = "2000",
                description = "the meter period of the settings (default: ${DEFAULT-VALUE})")
        private long meterPeriodMs;

        @Option(names = "--json", description = "print one object")
        private boolean json;

        @Override
        public Integer call() {
            long startedMs = System.currentTimeMillis();
            Snapshot snapshot = null;
            String noSnapshotReason = "";
            try {
                snapshot = SnapshotFile.read(file);
            } catch (IOException | InvalidConfigurationException e) {
                noSnapshotReason = e.getMessage();
            }
            Map<String, Long> startMsByMember = new HashMap<>();
            members.forEach((name, seconds) -> startMsByMember.put(name, startedMs - Math.round(seconds * 1000)));
            RecoveryPlan plan = new Recovery(startedMs, snapshot, noSnapshotReason, RecoveryConfig.of(meterPeriodMs))
                    .plan(startedMs + Math.round(afterS * 1000), agreed, startMsByMember);
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
            plan.trusted().forEach(line -> System.out.println("trusted  " + line));
            plan.refused().forEach(line -> System.out.println("refused  " + line));
            plan.pending().forEach(line -> System.out.println("asked    " + line));
            return 0;
        }

        private static JsonArray list(List<String> lines) {
            JsonArray list = new JsonArray();
            lines.forEach(list::add);
            return list;
        }
    }
}
