package opalcove.cli;

import io.vertx.core.Vertx;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import opalcove.config.InvalidConfigurationException;
import opalcove.lifecycle.Application;
import opalcove.mqtt.MqttConfig;
import opalcove.plan.Planner;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description = "Shows how a settings file would change the endpoint list of a running gateway,"
                + " and writes the changes to a plan file.")
final class PlanCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "FILE", description = "the desired settings, such as deploy/mqtt.json")
    private Path file;

    @Parameters(index = "1", paramLabel = "PLAN", description = "the plan file to write")
    private Path planFile;

    @Option(names = "--json", description = "print the contents of the plan file")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        MqttConfig desired = MqttConfig.read(file);
        if (desired.control() == null) {
            throw new InvalidConfigurationException(file + ": field control is missing");
        }
        Vertx vertx = Application.createEventLoop();
        try {
            String text = new Planner(vertx).plan(desired.control(), desired.backends(), planFile);
            System.out.print(json ? Files.readString(planFile) : text);
        } finally {
            vertx.close();
        }
        return 0;
    }
}
