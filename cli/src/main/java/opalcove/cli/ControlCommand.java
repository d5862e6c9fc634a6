package opalcove.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import opalcove.control.server.ControlConfig;
import opalcove.control.server.ControlService;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "control",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description = "Serves endpoints, weights and drains to other proxies over xDS until SIGTERM.",
        subcommands = ControlCommand.Status.class)
final class ControlCommand implements Callable<Integer>, Opalcove.Serves {
    @Spec
    private CommandSpec spec;

    @Parameters(
            arity = "0..1",
            paramLabel = "FILE",
            description = "the settings file of the service, such as deploy/control.json")
    private Path file;

    @Override
    public Integer call() throws Exception {
        if (file == null) {
            throw new CommandLine.ParameterException(spec.commandLine(), "Missing required parameter: 'FILE'");
        }
        ControlService service = new ControlService(ControlConfig.read(file));
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                service.close();
                            } catch (IOException e) {
                                System.err.println("opalcove: " + e);
                            }
                        },
                        "leave"));
        Thread.currentThread().join();
        return 0;
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            versionProvider = Opalcove.Version.class,
            description = "Shows the state of a running control service: its proxies, which of them lag behind, and the"
                    + " drains in progress.")
    static final class Status implements Callable<Integer> {
        private static final Duration TIMEOUT = Duration.ofSeconds(10);

        @Parameters(paramLabel = "FILE", description = "the settings file of the service")
        private Path file;

        @Option(names = "--json", description = "print one object")
        private boolean json;

        @Override
        public Integer call() throws Exception {
            ControlConfig settings = ControlConfig.read(file);
            HttpResponse<String> response = HttpClient.newBuilder()
                    .connectTimeout(TIMEOUT)
                    .build()
                    .send(
                            HttpRequest.newBuilder(URI.create(
                                            "http://" + settings.status().address() + ":"
                                                    + settings.status().port() + "/v1/status"))
                                    .timeout(TIMEOUT)
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() != 200) {
                throw new IOException("the control service responded with status " + response.statusCode());
            }
            System.out.print(
                    json
                            ? response.body() + "\n"
                            : table(Json.parse(response.body()).asObject()));
            return 0;
        }

        static String table(JsonObject state) {
            StringBuilder text = new StringBuilder(state.getString("name", "") + ": " + state.getInt("nodes", 0)
                    + " nodes, " + state.get("proxies").asArray().size() + " proxies\n");
            if (!state.getString("source_problem", "").isEmpty()) {
                text.append("node list: ")
                        .append(state.getString("source_problem", ""))
                        .append('\n');
            }
            if (!state.get("missing").asArray().isEmpty()) {
                text.append("kept though the list lacks them: ")
                        .append(state.get("missing"))
                        .append('\n');
            }
            appendProxies(text, state);
            appendDrains(text, state);
            return text.toString();
        }

        private static void appendProxies(StringBuilder text, JsonObject state) {
            text.append(String.format(
                    "%-20s %-12s %-10s %-10s %8s %10s %8s  %s%n",
                    "proxy", "cluster", "room", "type", "behind", "waits ms", "refused", "reason"));
            for (JsonValue each : state.get("proxies").asArray()) {
                JsonObject proxy = each.asObject();
                for (JsonObject.Member type : proxy.get("types").asObject()) {
                    JsonObject progress = type.getValue().asObject();
                    text.append(String.format(
                            "%-20s %-12s %-10s %-10s %8d %10d %8d  %s%n",
                            proxy.getString("id", ""),
                            proxy.getString("cluster", ""),
                            proxy.getString("room", ""),
                            type.getName(),
                            progress.getLong("behind", 0),
                            progress.getLong("waiting_ms", 0),
                            progress.getLong("refused", 0),
                            progress.getString("reason", "")));
                }
            }
        }

        private static void appendDrains(StringBuilder text, JsonObject state) {
            for (JsonValue each : state.get("drains").asArray()) {
                JsonObject drain = each.asObject();
                text.append("drain of ")
                        .append(drain.getString("node", ""))
                        .append(" for ")
                        .append(drain.getLong("since_ms", 0))
                        .append(" ms, not acknowledged by ")
                        .append(drain.get("not_acknowledged_by"))
                        .append('\n');
                for (JsonValue value : drain.get("used_by").asArray()) {
                    JsonObject usage = value.asObject();
                    long lastNewMs = usage.getLong("last_new_ms", -1);
                    text.append("  ")
                            .append(usage.getString("proxy", ""))
                            .append(" has ")
                            .append(usage.getLong("in_hand", 0))
                            .append(" in hand, ")
                            .append(
                                    lastNewMs < 0
                                            ? "nothing new"
                                            : "last told of new work " + lastNewMs + " ms after the drain")
                            .append('\n');
                }
            }
        }
    }
}
