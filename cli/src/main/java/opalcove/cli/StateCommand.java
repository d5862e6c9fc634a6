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
        description = "Shows and changes the replicated configuration: the settings and the endpoint list.",
        subcommands = {StateCommand.Show.class, StateCommand.History.class, StateCommand.Propose.class})
final class StateCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    /** The options that all subcommands share. */
    static final class Voters {
        @Option(
                names = "--voter",
                required = true,
                paramLabel = "ADDRESS",
                split = ",",
                description = "agreement addresses of the voters, such as 127.0.0.1:7947; the first voter"
                        + " that responds is used")
        private List<String> voters;

        @Option(
                names = "--most-s",
                paramLabel = "S",
                defaultValue = "10",
                description = "how many seconds to retry at most (default: ${DEFAULT-VALUE})")
        private int maxS;

        ReplicationClient client() {
            return new ReplicationClient(
                    voters.stream()
                            .map(voter -> HostAndPort.parse(voter, "--voter"))
                            .toList(),
                    maxS * 1000L);
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            versionProvider = Opalcove.Version.class,
            description = "Prints the version in force: its number on standard error, its text on standard output.")
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
            description = "Lists the latest versions with their numbers, authors and proposal ids.")
    static final class History implements Callable<Integer> {
        @CommandLine.Mixin
        private Voters voters;

        @Option(names = "--json", description = "print a list of objects")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            JsonArray list = new JsonArray();
            for (VersionLog.Version version : voters.client().history()) {
                if (json) {
                    list.add(Json.object()
                            .add("number", version.number())
                            .add("by", version.author())
                            .add("id", version.proposalId()));
                } else {
                    System.out.println(version.number() + " " + version.author() + " " + version.proposalId());
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
            description = "Prints how a file would change the version in force, then proposes the file as the next"
                    + " version.")
    static final class Propose implements Callable<Integer> {
        @CommandLine.Mixin
        private Voters voters;

        @Parameters(
                paramLabel = "FILE",
                description = "the complete next version: the settings, and the endpoints if the list is replicated")
        private Path file;

        @Option(
                names = "--by",
                paramLabel = "WHO",
                defaultValue = "${sys:user.name}",
                description = "the author of the proposal")
        private String author;

        @Option(names = "--plan", description = "print the changes without proposing them")
        private boolean planOnly;

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
            if (planOnly || changes.isEmpty()) {
                return 0;
            }
            VersionLog.Outcome outcome = client.propose(version.number(), author, text);
            if (!outcome.accepted()) {
                throw new InvalidConfigurationException("refused: " + outcome.reason());
            }
            System.out.println("version " + outcome.version() + " is in force");
            return 0;
        }
    }

    /**
     * Returns one line per added (+), changed (~) or removed (-) value, sorted by path. The path of a list entry
     * that has a name contains the name instead of the index.
     */
    static List<String> changes(String before, String after) {
        TreeMap<String, String> oldValues = new TreeMap<>();
        TreeMap<String, String> newValues = new TreeMap<>();
        if (!before.isEmpty()) {
            flatten("", Json.parse(before), oldValues);
        }
        flatten("", Json.parse(after), newValues);
        TreeMap<String, String> lines = new TreeMap<>();
        newValues.forEach((path, value) -> {
            if (!oldValues.containsKey(path)) {
                lines.put(path, "+ " + path + " " + value);
            } else if (!oldValues.get(path).equals(value)) {
                lines.put(path, "~ " + path + " " + oldValues.get(path) + " -> " + value);
            }
        });
        oldValues.forEach((path, value) -> {
            if (!newValues.containsKey(path)) {
                lines.put(path, "- " + path + " " + value);
            }
        });
        return List.copyOf(lines.values());
    }

    private static void flatten(String path, JsonValue value, TreeMap<String, String> values) {
        if (value.isObject()) {
            for (JsonObject.Member member : value.asObject()) {
                flatten(path.isEmpty() ? member.getName() : path + "." + member.getName(), member.getValue(), values);
            }
        } else if (value.isArray()) {
            for (int i = 0; i < value.asArray().size(); i++) {
                JsonValue entry = value.asArray().get(i);
                JsonValue name = entry.isObject() ? entry.asObject().get("name") : null;
                flatten(path + "[" + (name != null && name.isString() ? name.asString() : i) + "]", entry, values);
            }
        } else {
            values.put(path, value.toString());
        }
    }
}
