package opalcove.cli;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import opalcove.lifecycle.Application;
import opalcove.plan.Planner;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "apply",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description =
                "Applies a plan to the gateway it was made for; a plan made from an older endpoint list is rejected.")
final class ApplyCommand implements Callable<Integer> {
    @Parameters(paramLabel = "PLAN", description = "the plan file")
    private Path planFile;

    @Option(names = "--json", description = "print an object with the new index of the endpoint list")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        Vertx vertx = Application.createEventLoop();
        try {
            String text = new Planner(vertx).apply(planFile);
            System.out.print(json ? "{\"index\":" + text.strip().substring("index ".length()) + "}\n" : text);
        } finally {
            vertx.close();
        }
        return 0;
    }
}
