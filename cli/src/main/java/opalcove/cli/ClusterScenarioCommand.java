package opalcove.cli;

import com.eclipsesource.json.Json;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import opalcove.laboratory.ClusterScenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(
        name = "rig",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description = "Runs a scenario with several gateways on this machine and faults between them; prints each"
                + " change of state that a gateway reports of another as a line of JSON. Exits with 1 if the outcome is"
                + " not the expected one.")
final class ClusterScenarioCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the scenario file, such as example/rig-faults.json")
    private Path file;

    @Override
    public Integer call() throws Exception {
        List<String> errors = ClusterScenario.read(file)
                .play(change -> System.out.println(Json.object()
                        .add("at_ms", change.atMs())
                        .add("observer", change.observer())
                        .add("name", change.name())
                        .add("before", change.before())
                        .add("state", change.state())
                        .add("incarnation", change.incarnation())));
        errors.forEach(error -> System.err.println("opalcove: " + error));
        return errors.isEmpty() ? 0 : 1;
    }
}
