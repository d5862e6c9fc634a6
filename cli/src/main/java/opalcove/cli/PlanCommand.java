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
        description =
                "Shows what a settings file would change in the endpoint list of a running gateway, and writes it to a plan file.")
final class PlanCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "FILE", description = "the wanted settings, such as deploy/mqtt.json")
    private Path file;

    @Parameters(index = "1", paramLabel = "PLAN", description = "the plan file to write")
    private Path planFile;

    @Option(names = "--json", description = "print the plan itself, as it is written to its file")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        MqttConfig wanted = MqttConfig.read(file);
        if (wanted.control() == null) {
            throw new InvalidConfigurationException(file + ": field control is missing");
        }
        Vertx vertx = Application.createEventLoop();
        try {
            String text = new Planner(vertx).plan(wanted.control(), wanted.backends(), planFile);
            System.out.print(json ? Files.readString(planFile) : text);
        } finally {
            vertx.close();
        }
        return 0;
    }
}
