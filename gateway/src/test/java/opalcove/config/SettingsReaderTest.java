package opalcove.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import opalcove.TestSettings;
import opalcove.decision.AdmissionController;
import opalcove.decision.DecisionActions;
import opalcove.decision.DecisionSettings;
import opalcove.decision.LoadMetric;
import opalcove.server.GatewayConfig;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which settings are rejected, each with its key and the reason, and that the settings page lists every key. */
public class SettingsReaderTest {
    private static final String NOT_BELOW_0 = "must be a finite number not below 0";
    private static final String COUNT = "must be from 1 to 1000000";
    private static final String TIME_LIMIT = "must be from 1 to 86400000";

    /**
     * Each case: a text of the valid settings, its invalid replacement, and the key and the reason of the resulting
     * problem.
     */
    @DataProvider
    public Object[][] invalidSettings() {
        return Stream.of(invalidTopLevel(), invalidLimits(), invalidClasses(), invalidPlans())
                .flatMap(Stream::of)
                .toArray(Object[][]::new);
    }

    private static Object[][] invalidTopLevel() {
        return new Object[][] {
            {"\"me\":0", "\"me\":1", "me", "must be below balancers, 1"},
            {"\"me\":0", "\"me\":-1", "me", "must be from 0 to 1000000"},
            {"\"me\":0", "\"me\":4294967296", "me", "must be from 0 to 1000000"},
            {"\"me\":0", "\"me\":0.5", "me", "must be a whole number"},
            {"\"me\":0", "\"me\":\"0\"", "me", "must be a number"},
            {"\"me\":0,", "", "me", "is missing"},
            {"\"balancers\":1", "\"balancers\":0", "balancers", COUNT},
            {"\"locality\":\"room-a\"", "\"locality\":7", "locality", "must be a text"},
            {"\"tick_ms\":2", "\"tick_ms\":0", "tick_ms", "must be from 0.001 to 60000"},
            {"\"tick_ms\":2", "\"tick_ms\":1e999", "tick_ms", "must be from 0.001 to 60000"},
            {"pushed", "told", "discovery", "has an unknown value told, it must be one of pushed, on_request"},
            {"inline", "seldom", "feedback.how", "has an unknown value seldom, it must be one of off, inline, on_probe"
            },
            {"[\"svc_ms\"]", "\"svc_ms\"", "feedback.columns", "must be a list"},
            {"[\"svc_ms\"]", "[1]", "feedback.columns", "must hold texts"},
            {"\"ceilings\"", "\"limits\"", "ceilings", "is missing"},
            {"\"costs\":{}", "\"costs\":[]", "costs", "must be an object"},
            {"\"costs\":{}", "\"costs\":{\"cross_zone\":-0.1}", "costs.cross_zone", NOT_BELOW_0},
            {"\"costs\":{}", "\"costs\":{\"probe\":1e400}", "costs.probe", NOT_BELOW_0},
        };
    }

    private static Object[][] invalidLimits() {
        return new Object[][] {
            {"\"max_attempts\":6", "\"max_attempts\":0", "ceilings.max_attempts", COUNT},
            {"\"may_cancel\":true", "\"may_cancel\":1", "ceilings.may_cancel", "must be true or false"},
            {"\"max_retry_after_ms\":2000", "\"max_retry_after_ms\":-5", "ceilings.max_retry_after_ms", NOT_BELOW_0},
            {"\"dial_timeout_ms\":250", "\"dial_timeout_ms\":0", "ceilings.dial_timeout_ms", TIME_LIMIT},
            {"\"max_open\":4", "\"max_open\":0", "ceilings.max_open", COUNT},
            {"\"largest\":8", "\"largest\":0", "specifics.largest", "must be a finite number over 0"},
            {"\"cost_after\":true", "\"cost_after\":\"yes\"", "specifics.cost_after", "must be true or false"},
            {"\"cold_from\":0.2", "\"cold_from\":1.1", "obligations.cold_from", "must be from 0 to 1"},
            {
                "\"overload_factor\":2.5",
                "\"overload_factor\":0",
                "obligations.overload_factor",
                "must be a finite number over 0"
            },
        };
    }

    private static Object[][] invalidClasses() {
        return new Object[][] {
            {"\"profiles\":[", "\"profiles\":[],\"others\":[", "profiles", "must not be empty"},
            {"\"profiles\":[", "\"profiles\":[1,", "profiles[0]", "must be an object"},
            {"battery-update", "slot-status", "profiles[1].name", "is there twice: slot-status"},
            {
                "battery-update",
                "battery,update",
                "profiles[1].name",
                "must be a name without spaces, commas and control characters, not 'battery,update'"
            },
            {"\"keyed\"", "\"idempotent\"", "profiles[2].idempotency", "has an unknown value idempotent"},
            {"\"cell\"", "\"rack\"", "profiles[2].group", "has an unknown value rack"},
            {"\"value\":6", "\"value\":-6", "profiles[2].value", NOT_BELOW_0},
            {"\"deadline_ms\":4000", "\"deadline_ms\":0", "profiles[0].deadline_ms", TIME_LIMIT},
            {"\"deadline_ms\":4000", "\"deadline_ms\":1e9", "profiles[0].deadline_ms", TIME_LIMIT},
            {"\"window_ms\":4000", "\"window_ms\":-1", "profiles[2].window_ms", NOT_BELOW_0},
        };
    }

    private static Object[][] invalidPlans() {
        return new Object[][] {
            {"\"tiers_of_service\":[", "\"tiers_of_service\":[],\"t\":[", "tiers_of_service", "must not be empty"},
            {"flotte", "start", "tiers_of_service[1].name", "is there twice: start"},
            {"\"name\":\"flotte\"", "\"name\":null", "tiers_of_service[1].name", "is missing"},
            {
                "\"name\":\"flotte\"",
                "\"name\":\"\"",
                "tiers_of_service[1].name",
                "must be a name without spaces, commas and control characters, not ''"
            },
            {"\"peak_units\":100}]", "\"peak_units\":-1}]", "tiers_of_service[1].peak_units", NOT_BELOW_0},
            {"\"peak_units\":100}]", "\"max_out\":1.5}]", "tiers_of_service[1].max_out", "must be a whole number"},
            {
                "\"peak_units\":100}]",
                "\"cap_rate\":5}]",
                "tiers_of_service[1].hard_burst",
                "must be over 0 where cap_rate is: no request would ever pass"
            },
        };
    }

    @Test(dataProvider = "invalidSettings")
    public void namesKeyAndReasonWhenSettingIsInvalid(String valid, String invalid, String key, String reason) {
        assertTrue(TestSettings.JSON.contains(valid), "the valid settings do not contain " + valid);
        assertEquals(
                problems(TestSettings.JSON.replace(valid, invalid)),
                List.of(new InvalidConfigurationException.Problem(key, reason)));
    }

    @Test
    public void reportsAllProblemsTogether() {
        String invalid = TestSettings.JSON
                .replace("\"me\":0", "\"me\":-1")
                .replace("\"max_open\":4", "\"max_open\":\"4\"")
                .replace("\"cell\"", "\"rack\"");
        List<String> keys = problems(invalid).stream()
                .map(InvalidConfigurationException.Problem::key)
                .sorted()
                .toList();
        assertEquals(keys, List.of("ceilings.max_open", "me", "profiles[2].group"));
    }

    @Test
    public void ignoresUnknownKeysAndColumns() {
        DecisionSettings settings = SettingsReader.read(JsonFields.parse(TestSettings.JSON
                .replace("{\"me\":0", "{\"sunshine\":[1],\"me\":0")
                .replace("svc_ms", "moon_phase")));
        assertEquals(settings.loadMetrics(), List.of(LoadMetric.UNKNOWN));
    }

    /**
     * The problems of the file's own keys and of the settings are reported together, one per line, each with the path
     * of the file.
     */
    @Test
    public void reportsEveryProblemOfConfigurationFile() throws IOException {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.writeString(
                    file,
                    Files.readString(Path.of("example/config.json"))
                            .replace("\"sockets\": 1024", "\"sockets\": 2")
                            .replace("127.0.0.1:7101", "127.0.0.1:70000")
                            .replace("8c1f30d27a5be964", "not hex")
                            .replace("\"tick_ms\": 2.0", "\"tick_ms\": 0"));
            InvalidConfigurationException refused = expectThrows(
                    InvalidConfigurationException.class,
                    () -> GatewayConfig.read(java.util.Map.of("GW_CONFIG", file.toString())));
            assertEquals(
                    refused.getMessage().lines().toList(),
                    List.of(
                            file + ": field discovery must be an address and a port, not 127.0.0.1:70000",
                            file + ": field seed must be 16 hex digits",
                            file + ": field limits.sockets must be a whole number from 16 on",
                            file + ": field settings.tick_ms must be from 0.001 to 60000"));
        } finally {
            Files.delete(file);
        }
    }

    /** Values that a mistake may put anywhere; 1e999 is infinite when it is read as a double. */
    private static final List<String> VALUES = List.of(
            "null",
            "true",
            "\"\"",
            "\"x\"",
            "-1",
            "0",
            "0.5",
            "1e999",
            "-1e999",
            "1e300",
            "4294967297",
            "1e-300",
            "[]",
            "[1]",
            "[{}]",
            "{}");

    @Test
    public void acceptsMutatedSettingsOrNamesTheirInvalidKeys() {
        int accepted = 0;
        int rounds = 5000;
        for (int seed = 0; seed < rounds; seed++) {
            Random random = new Random(seed);
            JsonValue settings = Json.parse(TestSettings.JSON);
            for (int changes = 1 + random.nextInt(3); changes > 0; changes--) {
                mutate(settings, random);
            }
            try {
                new AdmissionController(
                        0, SettingsReader.read(JsonFields.parse(settings.toString())), seed, new NoActions());
                accepted++;
            } catch (InvalidConfigurationException e) {
                assertFalse(e.problems().isEmpty());
                e.problems().forEach(problem -> assertFalse(problem.key().isEmpty(), settings + " " + problem));
            } catch (RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + settings, e);
            }
        }
        assertTrue(
                accepted > rounds / 20 && accepted < rounds / 2,
                "both outcomes must be tested, but " + accepted + " were accepted");
    }

    /** Replaces, removes or duplicates one value at any depth. */
    private static void mutate(JsonValue value, Random random) {
        if (value.isObject() && !value.asObject().isEmpty()) {
            JsonObject object = value.asObject();
            String name = object.names().get(random.nextInt(object.size()));
            if (isCompound(object.get(name)) && random.nextInt(4) > 0) {
                mutate(object.get(name), random);
            } else if (random.nextInt(4) == 0) {
                object.remove(name);
            } else {
                object.set(name, randomValue(random));
            }
        } else if (value.isArray() && !value.asArray().isEmpty()) {
            JsonArray array = value.asArray();
            int index = random.nextInt(array.size());
            switch (random.nextInt(6)) {
                case 0 -> array.add(array.get(index));
                case 1 -> array.remove(index);
                case 2 -> array.set(index, randomValue(random));
                default -> mutate(array.get(index), random);
            }
        }
    }

    private static boolean isCompound(JsonValue value) {
        return value.isObject() || value.isArray();
    }

    private static JsonValue randomValue(Random random) {
        return Json.parse(VALUES.get(random.nextInt(VALUES.size())));
    }

    /** Guards against a key that is added to the code and not to the settings page. */
    @Test
    public void settingsPageListsEveryKeyThatIsRead() throws IOException {
        Set<String> read = new TreeSet<>();
        for (String source : List.of(
                "config/src/main/java/opalcove/config/SettingsReader.java",
                "gateway/src/main/java/opalcove/server/GatewayConfig.java",
                "config/src/main/java/opalcove/config/EndpointCodec.java")) {
            Matcher key = Pattern.compile(
                            "\\.(?:has|number|numberOr|integer|integerOr|longInteger|flag|text|textOr|texts|oneOf|choice|uniqueName"
                                    + "|object|objects)\\(\\s*\"(\\w+)\"")
                    .matcher(Files.readString(Path.of(source)));
            while (key.find()) {
                read.add(key.group(1));
            }
        }
        assertTrue(read.size() > 55, "this pattern no longer matches the sources: " + read);
        assertEquals(unlisted(read), Set.of());
    }

    /** Includes the keys that are not read; these two files have the most complete settings in the repository. */
    @Test
    public void settingsPageListsEveryKeyOfTheExamples() throws IOException {
        Set<String> keys = new TreeSet<>();
        collectKeys(Json.parse(Files.readString(Path.of("example/config.json"))), keys);
        collectKeys(
                Json.parse(
                        Files.readString(Path.of("laboratory/src/main/resources/opalcove/laboratory/settings.json"))),
                keys);
        assertEquals(unlisted(keys), Set.of());
    }

    private static void collectKeys(JsonValue value, Set<String> keys) {
        if (value.isArray()) {
            value.asArray().forEach(item -> collectKeys(item, keys));
        } else if (value.isObject()) {
            for (JsonObject.Member member : value.asObject()) {
                keys.add(member.getName());
                collectKeys(member.getValue(), keys);
            }
        }
    }

    /** Returns the keys that no table of the page lists in its first column. */
    private static Set<String> unlisted(Set<String> keys) throws IOException {
        Set<String> listed = new TreeSet<>();
        for (String line : Files.readAllLines(Path.of("docs/settings.md"))) {
            if (line.startsWith("| `")) {
                String path = line.substring(3, line.indexOf('`', 3));
                listed.addAll(Arrays.asList(path.replace("[]", "").split("\\.")));
            }
        }
        return keys.stream().filter(key -> !listed.contains(key)).collect(Collectors.toCollection(TreeSet::new));
    }

    private static List<InvalidConfigurationException.Problem> problems(String settings) {
        return new ArrayList<>(
                expectThrows(InvalidConfigurationException.class, () -> SettingsReader.read(JsonFields.parse(settings)))
                        .problems());
    }

    /** Ignores the actions of the decision module, to which no events are sent here. */
    private static final class NoActions implements DecisionActions {
        @Override
        public void startAttempt(String id, String host, double timeoutMs) {}

        @Override
        public void shed(String id, double retryAfterMs) {}

        @Override
        public void fail(String id) {}

        @Override
        public void cancelAttempt(String id, int attempt) {}

        @Override
        public void setTimer(long token, double afterMs) {}

        @Override
        public void checkHealth(String host) {}

        @Override
        public void subscribeToEndpoints() {}

        @Override
        public void log(String line) {}
    }
}
