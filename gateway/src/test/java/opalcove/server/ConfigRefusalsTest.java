package opalcove.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests the exact texts and exit codes with which the program rejects an invalid configuration or environment. */
public class ConfigRefusalsTest {
    private static final int TIMEOUT_SECONDS = 60;
    private static final String USAGE =
            "usage: java -jar opalcove-gateway.jar serve | adapter (the other commands are in opalcove.jar)\n";

    private Path file;
    private String example;

    @BeforeClass
    public void open() throws IOException {
        example = Files.readString(Path.of("example/config.json"));
        file = Files.createTempFile("config", ".json");
    }

    @AfterClass
    public void close() throws IOException {
        Files.delete(file);
    }

    /** Returns the problems of the example configuration after changes, each a text and its replacement. */
    private List<String> problems(Map<String, String> environment, String... changes) throws IOException {
        String json = example;
        for (int i = 0; i < changes.length; i += 2) {
            json = json.replace(changes[i], changes[i + 1]);
        }
        Files.writeString(file, json);
        Map<String, String> variables = new java.util.HashMap<>(environment);
        variables.put("GW_CONFIG", file.toString());
        InvalidConfigurationException rejection =
                expectThrows(InvalidConfigurationException.class, () -> GatewayConfig.read(variables));
        List<String> problems = new ArrayList<>();
        rejection.getMessage().lines().forEach(line -> problems.add(line.replace(file + ": ", "FILE: ")));
        return problems;
    }

    @Test
    public void rejectsInvalidValuesOfConfigurationFile() throws IOException {
        String[][] cases = {
            {"\"name\": \"n0\"", "\"name\": 7", "field name must be a text"},
            {
                "\"listen\": \"127.0.0.1:7100\"",
                "\"listen\": \"127.0.0.1\"",
                "field listen must be an address and a port, not 127.0.0.1"
            },
            {"\"listen\": \"127.0.0.1:7100\", ", "", "field listen must be an address and a port, not "},
            {
                "\"listen\": ",
                "\"console\": \"here:x\", \"listen\": ",
                "field console must be an address and a port, not here:x"
            },
            {
                "127.0.0.1:7101",
                "http://127.0.0.1:7101",
                "field discovery must be an address and a port, not http://127.0.0.1:7101"
            },
            {"127.0.0.1:7101", "127.0.0.1:0", "field discovery must name a port to call, not 0"},
            {"8c1f30d27a5be964", "8c1f30d27a5be96g", "field seed must be 16 hex digits"},
            {"\"sockets\": 1024", "\"sockets\": 15", "field limits.sockets must be a whole number from 16 on"},
            {"\"sockets\": 1024", "\"sockets\": 1073741824", "field limits.sockets must be a whole number from 16 on"},
            {"\"sockets\": 1024", "\"sockets\": 16.5", "field limits.sockets must be a whole number"},
            {"\"index\": 0,", "\"index\": \"a\",", "field known.index must be a number"},
            {"\"endpoints\": []", "\"endpoints\": [{}]", "field known.endpoints[0].name is missing"},
            {
                "\"endpoints\": []",
                "\"endpoints\": [{\"status\":\"away\"}]",
                "field known.endpoints[0].status has an unknown value away"
            },
            {"\"seed\":", "\"rehearsal_ms\": -1, \"seed\":", "field rehearsal_ms must be from 0 to 60000"},
            {"\"seed\":", "\"rehearsal_ms\": 60001, \"seed\":", "field rehearsal_ms must be from 0 to 60000"},
            {"\"seed\":", "\"membership\": [], \"seed\":", "field membership must be an object"},
            {"\"seed\":", "\"agreement\": 1, \"seed\":", "field agreement must be an object"},
            {"\"settings\":", "\"set\":", "field settings is missing"},
            {"\"me\": 0", "\"me\": 1", "field settings.me must be below balancers, 1"},
        };
        for (String[] invalid : cases) {
            assertEquals(problems(Map.of(), invalid[0], invalid[1]), List.of("FILE: " + invalid[2]), invalid[1]);
        }
        assertEquals(problems(Map.of(), example, "[]"), List.of("FILE: the message must be an object"));
    }

    @Test
    public void rejectsInvalidValuesOfEnvironment() throws IOException {
        assertEquals(
                problems(Map.of("GW_LISTEN", "x", "GW_CONSOLE", "y")),
                List.of(
                        "FILE: field listen must be an address and a port, not x",
                        "FILE: field console must be an address and a port, not y"));
        assertEquals(
                problems(Map.of("GW_DISCOVERY", "z"), "\"discovery\": \"127.0.0.1:7101\",", ""),
                List.of("FILE: field discovery must be an address and a port, not z"));
        assertEquals(
                expectThrows(InvalidConfigurationException.class, () -> GatewayConfig.read(Map.of()))
                        .getMessage(),
                "GW_CONFIG is not set");
        assertEquals(
                expectThrows(
                                InvalidConfigurationException.class,
                                () -> GatewayConfig.read(Map.of("GW_CONFIG", "/nowhere/config.json")))
                        .getMessage(),
                "cannot read /nowhere/config.json: /nowhere/config.json");
    }

    /** The environment takes precedence over the file, except for the address of discovery. */
    @Test
    public void prefersEnvironmentToFileExceptForDiscovery() throws IOException {
        Files.writeString(file, example);
        GatewayConfig config = GatewayConfig.read(Map.of(
                "GW_CONFIG", file.toString(),
                "GW_NAME", "n7",
                "GW_LISTEN", "127.0.0.1:1",
                "GW_CONSOLE", "127.0.0.1:2",
                "GW_DISCOVERY", "127.0.0.1:3"));
        assertEquals(config.name(), "n7");
        assertEquals(config.listen(), new HostAndPort("127.0.0.1", 1));
        assertEquals(config.console(), new HostAndPort("127.0.0.1", 2));
        assertEquals(config.discovery(), new HostAndPort("127.0.0.1", 7101));
        assertNull(GatewayConfig.read(Map.of("GW_CONFIG", file.toString())).console());
    }

    @Test
    public void exitsWithCodeAndMessageWhenArgumentsOrConfigurationAreInvalid() throws Exception {
        assertEquals(run(null), "2 " + USAGE);
        assertEquals(run(null, "nonsense"), "2 " + USAGE);
        assertEquals(run(null, "serve", "serve"), "2 " + USAGE);
        assertEquals(run(null, "serve"), "1 opalcove: GW_CONFIG is not set\n");
        Files.writeString(file, example.replace("127.0.0.1:7101", "here").replace("8c1f30d27a5be964", "not hex"));
        assertEquals(
                run(file.toString(), "serve"),
                "1 opalcove: " + file + ": field discovery must be an address and a port, not here\n" + "opalcove: "
                        + file + ": field seed must be 16 hex digits\n");
    }

    /** Runs the program and returns its exit code and standard error output. */
    private static String run(String config, String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "opalcove.Main"));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("GW_"));
        if (config != null) {
            builder.environment().put("GW_CONFIG", config);
        }
        Process process = builder.start();
        String errors = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            throw new AssertionError("the program is still running after " + TIMEOUT_SECONDS + " s: " + errors);
        }
        return process.exitValue() + " " + errors;
    }
}
