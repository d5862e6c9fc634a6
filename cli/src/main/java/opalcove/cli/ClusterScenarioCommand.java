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
        description =
                "Plays a scenario with several gateways on this machine and faults between them; prints what they report"
                        + " of one another, a JSON line each. Exits with 1 where the outcome is not the expected one.")
final class ClusterScenarioCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the scenario, such as example/rig-faults.json")
    private Path file;

    @Override
    public Integer call() throws Exception {
        List<String> wrong = ClusterScenario.read(file)
                .play(each -> System.out.println(Json.object()
                        .add("at_ms", each.atMs())
                        .add("observer", each.observer())
                        .add("name", each.name())
                        .add("before", each.before())
                        .add("state", each.state())
                        .add("incarnation", each.incarnation())));
        wrong.forEach(each -> System.err.println("opalcove: " + each));
        return wrong.isEmpty() ? 0 : 1;
    }
}
