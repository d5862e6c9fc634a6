package opalcove.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.configlease.VersionLog;
import opalcove.replication.ReplicationClient;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description = "Shows and changes the replicated configuration: settings and endpoint list.",
        subcommands = {StateCommand.Show.class, StateCommand.History.class, StateCommand.Propose.class})
final class StateCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    /** What all of them take. */
    static final class Voters {
        @Option(
                names = "--voter",
                required = true,
                paramLabel = "ADDRESS",
                split = ",",
                description = "voters' agreement addresses, such as 127.0.0.1:7947; the first that answers will do")
        private List<String> voters;

        @Option(
                names = "--most-s",
                paramLabel = "S",
                defaultValue = "10",
                description = "how long to try at most (default: ${DEFAULT-VALUE})")
        private int maxS;

        ReplicationClient client() {
            return new ReplicationClient(
                    voters.stream()
                            .map(each -> HostAndPort.parse(each, "--voter"))
                            .toList(),
                    maxS * 1000L);
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            versionProvider = Opalcove.Version.class,
            description = "Prints the version in force: its number to standard error, its text to standard output.")
    static final class Show implements Callable<Integer> {
        @CommandLine.Mixin
        private Voters voters;

        @Override
        public Integer call() throws IOException {
            VersionLog.Version version = voters.client().current();
            System.err.println(version.number() == 0 ? "no version yet" : "version " + version.number());
            System.out.println(version.text());
            return 0;
        }
    }

    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            versionProvider = Opalcove.Version.class,
            description = "Lists the last versions, by number, who proposed them, and the proposals' ids.")
    static final class History implements Callable<Integer> {
        @CommandLine.Mixin
        private Voters voters;

        @Option(names = "--json", description = "print a list of objects")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            JsonArray list = new JsonArray();
            for (VersionLog.Version each : voters.client().history()) {
                if (json) {
                    list.add(Json.object()
                            .add("number", each.number())
                            .add("by", each.author())
                            .add("id", each.proposalId()));
                } else {
                    System.out.println(each.number() + " " + each.author() + " " + each.proposalId());
                }
            }
            if (json) {
                System.out.println(list);
            }
            return 0;
        }
    }

    @Command(
            name = "propose",
            mixinStandardHelpOptions = true,
            versionProvider = Opalcove.Version.class,
            description = "Prints what a file would change in the version in force, then proposes it as the next one.")
    static final class Propose implements Callable<Integer> {
        @CommandLine.Mixin
        private Voters voters;

        @Parameters(
                paramLabel = "FILE",
                description = "the whole next version: settings, and endpoints where the list is replicated")
        private Path file;

        @Option(
                names = "--by",
                paramLabel = "WHO",
                defaultValue = "${sys:user.name}",
                description = "the author of the proposal")
        private String by;

        @Option(names = "--plan", description = "print what would change, and propose nothing")
        private boolean plan;

        @Override
        public Integer call() throws IOException {
            String text = Files.readString(file);
            try {
                JsonFields.parse(text);
            } catch (InvalidConfigurationException e) {
                throw new InvalidConfigurationException(file + ": " + e.getMessage());
            }
            ReplicationClient client = voters.client();
            VersionLog.Version version = client.current();
            List<String> changes = changes(version.text(), text);
            changes.forEach(System.out::println);
            System.out.println(changes.size()
                    + (changes.size() == 1 ? " change to version " : " changes to version ")
                    + version.number());
            if (plan || changes.isEmpty()) {
                return 0;
            }
            VersionLog.Outcome outcome = client.propose(version.number(), by, text);
            if (!outcome.accepted()) {
                throw new InvalidConfigurationException("refused: " + outcome.reason());
            }
            System.out.println("version " + outcome.version() + " is in force");
            return 0;
        }
    }

    /** What is added (+), changed (~) and removed (-), a line each, by path; list entries that have a name go by it. */
    static List<String> changes(String before, String after) {
        TreeMap<String, String> was = new TreeMap<>();
        TreeMap<String, String> is = new TreeMap<>();
        if (!before.isEmpty()) {
            flatten("", Json.parse(before), was);
        }
        flatten("", Json.parse(after), is);
        TreeMap<String, String> lines = new TreeMap<>();
        is.forEach((path, value) -> {
            if (!was.containsKey(path)) {
                lines.put(path, "+ " + path + " " + value);
            } else if (!was.get(path).equals(value)) {
                lines.put(path, "~ " + path + " " + was.get(path) + " -> " + value);
            }
        });
        was.forEach((path, value) -> {
            if (!is.containsKey(path)) {
                lines.put(path, "- " + path + " " + value);
            }
        });
        return List.copyOf(lines.values());
    }

    private static void flatten(String path, JsonValue value, TreeMap<String, String> into) {
        if (value.isObject()) {
            for (JsonObject.Member member : value.asObject()) {
                flatten(path.isEmpty() ? member.getName() : path + "." + member.getName(), member.getValue(), into);
            }
        } else if (value.isArray()) {
            for (int i = 0; i < value.asArray().size(); i++) {
                JsonValue each = value.asArray().get(i);
                JsonValue name = each.isObject() ? each.asObject().get("name") : null;
                flatten(path + "[" + (name != null && name.isString() ? name.asString() : i) + "]", each, into);
            }
        } else {
            into.put(path, value.toString());
        }
    }
}
