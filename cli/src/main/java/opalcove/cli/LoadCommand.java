package opalcove.cli;

import java.util.concurrent.Callable;
import opalcove.config.HostAndPort;
import opalcove.laboratory.Load;
import opalcove.laboratory.LoadPlan;
import opalcove.laboratory.LoadReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description = "Sends load to a gateway and reports the responses.")
final class LoadCommand implements Callable<Integer> {
    @Mixin
    private LoadOptions options;

    @Parameters(
            paramLabel = "ADDRESS",
            description = "the address on which the gateway listens, such as 127.0.0.1:7100")
    private String address;

    @Option(names = "--json", description = "print one object")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        HostAndPort hostAndPort = HostAndPort.parse(address, "ADDRESS");
        LoadPlan plan = options.plan(hostAndPort.address(), hostAndPort.port());
        try (Load load = new Load(plan, System.err::println)) {
            LoadReport report = load.run(plan.requests());
            System.out.print(json ? report.json() + "\n" : report.table());
            return report.failed() == 0 ? 0 : 1;
        }
    }
}
