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
 * The command line. Exits with 0, with 1 where a command failed, and with 2 where it was called wrongly. What a command
 * reports goes to standard output; log lines and what is wrong go to standard error.
 */
@Command(
        name = "opalcove",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description = "Gateway: decides which request goes to which backend, when, and which is shed.",
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
        exitCodeList = {"0:done", "1:the command failed; standard error says why", "2:wrong call"})
public final class Opalcove implements Runnable {
    private static final String MICRORAFT_LEVEL = "level@io.microraft";

    @Spec
    private CommandSpec spec;

    /** Makes the command line, whose program stays up after a command that serves. */
    static CommandLine commandLine() {
        return new CommandLine(new Opalcove())
                .setExecutionExceptionHandler((failure, command, parsed) -> failed(failure, command.getErr()));
    }

    /** Runs the command that the arguments name and exits with its code. */
    public static void main(String[] args) {
        quietMicroRaft();
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
     * MicroRaft logs each election, and errors where packets are lost or come twice, which the voters outlive: none of it
     * unless it is asked for, as by {@code -Dtinylog.level@io.microraft=error}.
     */
    private static void quietMicroRaft() {
        if (System.getProperty("tinylog." + MICRORAFT_LEVEL) == null) {
            Configuration.set(MICRORAFT_LEVEL, "off");
        }
    }

    private static int failed(Exception failure, PrintWriter err) throws Exception {
        if (!(failure instanceof InvalidConfigurationException || failure instanceof IOException)) {
            throw failure;
        }
        String text = failure instanceof InvalidConfigurationException ? failure.getMessage() : failure.toString();
        text.lines().forEach(line -> err.println("opalcove: " + line));
        err.flush();
        return CommandLine.ExitCode.SOFTWARE;
    }

    /** Without a command there is nothing to do. */
    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    /** A command whose program goes on until SIGTERM. */
    interface Serves {}

    /** The version that the build put into the jar. */
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
                    "Serves as the platform's gateway, configured by GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_CONFIG,"
                            + " until SIGTERM. opalcove-gateway.jar has the same command without the others.")
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
        @Parameters(paramLabel = "FILE", description = "the server's settings, such as deploy/mqtt.json")
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
            description = "Runs the decision module on the simulator's wire, on standard input and output.")
    static final class AdapterCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            SimulatorAdapter.onStandardStreams();
            return 0;
        }
    }
}
