package opalcove.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import opalcove.config.InvalidConfigurationException;
import opalcove.mqtt.MqttConfig;
import opalcove.mqtt.MqttGateway;
import opalcove.server.GatewayServer;
import opalcove.simulator.SimulatorAdapter;
import org.tinylog.configuration.Configuration;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command line. The process exits with 0 on success, with 1 if a command failed, and with 2 on wrong usage.
 * Commands print their results to standard output; log lines and errors go to standard error.
 */
@Command(
        name = "opalcove",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description = "Gateway that decides which backend receives each request and when, and which requests are shed.",
        subcommands = {
            Opalcove.ServeCommand.class,
            Opalcove.MqttCommand.class,
            ControlCommand.class,
            PlanCommand.class,
            ApplyCommand.class,
            LoadCommand.class,
            MembersCommand.class,
            StateCommand.class,
            RecoveryCommand.class,
            MembershipTrialCommand.class,
            AgreementTrialCommand.class,
            SlowStartTrialCommand.class,
            ClusterScenarioCommand.class,
            MeterCommand.class,
            CostCheckCommand.class,
            ComparisonCommand.class,
            StartupBenchmarkCommand.class,
            SoakCommand.class,
            Opalcove.AdapterCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:success", "1:the command failed; standard error states the reason", "2:wrong usage"})
public final class Opalcove implements Runnable {
    private static final String MICRORAFT_LEVEL = "level@io.microraft";

    @Spec
    private CommandSpec spec;

    /** Creates the command line, with the handler that prints the errors of commands. */
    static CommandLine commandLine() {
        return new CommandLine(new Opalcove())
                .setExecutionExceptionHandler((failure, command, parsed) -> printError(failure, command.getErr()));
    }

    /** Runs the command given by the arguments. Exits with its code, unless the command serves until SIGTERM. */
    public static void main(String[] args) {
        disableMicroRaftLogging();
        CommandLine commandLine = commandLine();
        int code = commandLine.execute(args);
        CommandLine.ParseResult parsed = commandLine.getParseResult();
        boolean serves = parsed != null
                && parsed.hasSubcommand()
                && parsed.subcommand().commandSpec().userObject() instanceof Serves;
        if (code != 0
                || !serves
                || parsed.subcommand().isUsageHelpRequested()
                || parsed.subcommand().isVersionHelpRequested()) {
            System.exit(code);
        }
    }

    /**
     * Turns off MicroRaft's log unless a level is set, for example by {@code -Dtinylog.level@io.microraft=error}.
     * MicroRaft logs each election, and errors for lost or duplicated packets, although the voters tolerate both.
     */
    private static void disableMicroRaftLogging() {
        if (System.getProperty("tinylog." + MICRORAFT_LEVEL) == null) {
            Configuration.set(MICRORAFT_LEVEL, "off");
        }
    }

    private static int printError(Exception failure, PrintWriter err) throws Exception {
        if (!(failure instanceof InvalidConfigurationException || failure instanceof IOException)) {
            throw failure;
        }
        String text = failure instanceof InvalidConfigurationException ? failure.getMessage() : failure.toString();
        text.lines().forEach(line -> err.println("opalcove: " + line));
        err.flush();
        return CommandLine.ExitCode.SOFTWARE;
    }

    /** Rejects a call without a subcommand. */
    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    /** Marks a command that keeps the process running until SIGTERM. */
    interface Serves {}

    /** Provides the version that the build writes into the manifest of the jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Opalcove.class.getPackage().getImplementationVersion();
            return new String[] {"opalcove " + (version == null ? "(not packaged)" : version)};
        }
    }

    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description =
                    "Runs the gateway of the platform until SIGTERM, configured by GW_NAME, GW_LISTEN, GW_DISCOVERY"
                            + " and GW_CONFIG. opalcove-gateway.jar contains only this command.")
    static final class ServeCommand implements Runnable, Serves {
        @Override
        public void run() {
            GatewayServer.start();
        }
    }

    @Command(
            name = "mqtt",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Serves MQTT clients until SIGTERM.")
    static final class MqttCommand implements Runnable, Serves {
        @Parameters(paramLabel = "FILE", description = "the settings file of the server, such as deploy/mqtt.json")
        private Path file;

        @Override
        public void run() {
            MqttGateway.start(MqttConfig.read(file));
        }
    }

    @Command(
            name = "adapter",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Runs the decision module with the simulator's protocol on standard input and output.")
    static final class AdapterCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            SimulatorAdapter.onStandardStreams();
            return 0;
        }
    }
}
