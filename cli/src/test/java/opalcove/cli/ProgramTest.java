package opalcove.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Runs the program in a process of its own. */
public class ProgramTest {
    private static final Path JAVA = Path.of(System.getProperty("java.home"), "bin", "java");

    private static List<String> program(String... arguments) {
        List<String> command = new ArrayList<>(
                List.of(JAVA.toString(), "-cp", System.getProperty("java.class.path"), "opalcove.cli.Opalcove"));
        command.addAll(List.of(arguments));
        return command;
    }

    private static String run(int expectedExit, String config, List<String> command) throws Exception {
        Path output = Files.createTempFile("program", ".log");
        try {
            ProcessBuilder builder =
                    new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile());
            builder.environment().put("GW_CONFIG", config);
            Process process = builder.start();
            process.getOutputStream().close();
            assertTrue(process.waitFor(2, TimeUnit.MINUTES));
            String text = Files.readString(output, StandardCharsets.UTF_8);
            assertEquals(process.exitValue(), expectedExit, text);
            return text;
        } finally {
            Files.delete(output);
        }
    }

    @Test
    public void servesExampleAndExitsWithZeroOnSigterm() throws Exception {
        List<String> command = new ArrayList<>(List.of(JAVA.toString(), "example/ToyServer.java", "try"));
        command.addAll(program("serve"));
        String text = run(0, "", command);
        assertTrue(
                text.contains("the gateway ended with 0")
                        && text.contains("taken=400")
                        && text.contains("failed=0")
                        && text.contains("phase STOPPED"),
                text);
    }

    @Test
    public void adapterExitsAtEndOfInput() throws Exception {
        assertEquals(run(0, "", program("adapter")), "");
    }

    @Test
    public void rejectsInvalidFilesAndArguments() throws Exception {
        assertTrue(run(1, "/nowhere", program("serve")).contains("opalcove: cannot read /nowhere"));
        assertTrue(run(1, "", program("mqtt", "pom.xml")).contains("opalcove: pom.xml: malformed JSON"));
        assertTrue(run(2, "", program()).contains("Missing required subcommand"));
        assertTrue(run(2, "", program("plan", "one")).contains("Missing required parameter: 'PLAN'"));
        assertTrue(run(1, "", program("apply", "/nowhere")).contains("opalcove: java.nio.file.NoSuchFileException"));
        for (String[] replacement : new String[][] {
            {"127.0.0.1:7100", "127.0.0.1", "field listen"},
            {"8c1f30d27a5be964", "seed", "field seed"},
            {"\"quota_rate\": 1.7", "\"quota_rate\": -1", "field settings.tiers_of_service[0].quota_rate"}
        }) {
            assertTrue(startWithInvalidConfig(replacement[0], replacement[1]).contains(replacement[2]), replacement[1]);
        }
    }

    /** Each command prints its usage, and the program its version; opalcove.Main prints its usage and accepts serve. */
    @Test
    public void printsUsageOfEachCommand() throws Exception {
        for (String command : Opalcove.commandLine().getSubcommands().keySet()) {
            assertTrue(run(0, "", program(command, "--help")).startsWith("Usage: opalcove " + command), command);
        }
        assertTrue(run(0, "", program("--version")).startsWith("opalcove "));
        List<String> gatewayOnly = program();
        gatewayOnly.set(gatewayOnly.size() - 1, "opalcove.Main");
        assertTrue(run(2, "", gatewayOnly).contains("usage:"));
        gatewayOnly.add("serve");
        assertTrue(run(1, "/nowhere", gatewayOnly).contains("opalcove: cannot read /nowhere"));
    }

    @Test
    public void changesDiscoveryAddressOnSighupButKeepsOldConfigurationIfFileIsMalformed() throws Exception {
        Path config = Files.createTempFile("config", ".json");
        try (ServerSocket first = listenAsDiscovery();
                ServerSocket second = listenAsDiscovery()) {
            Files.writeString(config, configWithDiscovery(first));
            ProcessBuilder builder = new ProcessBuilder(program("serve")).redirectErrorStream(true);
            builder.environment().put("GW_CONFIG", config.toString());
            // The replaced file takes precedence over the variable, which dates from the start of the process.
            builder.environment().put("GW_DISCOVERY", "127.0.0.1:1");
            Process gateway = builder.start();
            try (Socket oldCall = first.accept();
                    BufferedReader log = gateway.inputReader()) {
                assertEquals(readRequestLine(oldCall), "GET /v1/endpoints HTTP/1.1");
                Files.writeString(config, "{\"discovery\":");
                signal("-HUP", gateway);
                readUntil(log, "the old stays in force: " + config + ": malformed JSON");
                Files.writeString(config, configWithDiscovery(second));
                signal("-HUP", gateway);
                try (Socket newCall = second.accept()) {
                    assertEquals(readRequestLine(newCall), "GET /v1/endpoints HTTP/1.1");
                    // The pending call to the old address is cancelled: its connection ends after the headers.
                    String rest = new String(oldCall.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                    assertTrue(rest.endsWith("\r\n\r\n"), rest);
                }
                signal("-TERM", gateway);
                assertTrue(log.lines().anyMatch(line -> line.contains("phase STOPPED")));
                assertEquals(gateway.waitFor(), 0);
            } finally {
                gateway.destroyForcibly();
            }
        } finally {
            Files.delete(config);
        }
    }

    /** SIGTERM and SIGHUP arrive together: the truncated file is rejected with its reason, and shutdown completes. */
    @Test
    public void rejectsTruncatedFileAndCompletesShutdownWhenSighupArrivesWithSigterm() throws Exception {
        Path config = Files.createTempFile("config", ".json");
        try (ServerSocket discovery = listenAsDiscovery()) {
            String text = configWithDiscovery(discovery);
            Files.writeString(config, text);
            ProcessBuilder builder = new ProcessBuilder(program("serve")).redirectErrorStream(true);
            builder.environment().put("GW_CONFIG", config.toString());
            Process gateway = builder.start();
            try (BufferedReader log = gateway.inputReader()) {
                readUntil(log, "phase SERVING");
                Files.writeString(config, text.substring(0, text.length() / 2));
                String pid = Long.toString(gateway.pid());
                assertEquals(
                        new ProcessBuilder("sh", "-c", "kill -TERM " + pid + " && kill -HUP " + pid)
                                .start()
                                .waitFor(),
                        0);
                List<String> rest = log.lines().toList();
                assertTrue(
                        rest.stream().anyMatch(line -> line.contains("the old stays in force: " + config)), rest + "");
                assertTrue(rest.stream().anyMatch(line -> line.contains("phase STOPPED")), rest + "");
                assertEquals(gateway.waitFor(), 0);
            } finally {
                gateway.destroyForcibly();
            }
        } finally {
            Files.delete(config);
        }
    }

    /**
     * If SIGHUP is ignored at the start, as under nohup, the JVM keeps ignoring it. The program must log this, because
     * the file would not be read again.
     */
    @Test
    public void logsWarningIfSighupIsIgnoredAtStart() throws Exception {
        Path config = Files.createTempFile("config", ".json");
        try (ServerSocket discovery = listenAsDiscovery()) {
            Files.writeString(config, configWithDiscovery(discovery));
            for (String ignored : new String[] {"", "trap '' HUP; "}) {
                List<String> command = new ArrayList<>(List.of("sh", "-c", ignored + "exec \"$@\"", "sh"));
                command.addAll(program("serve"));
                ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
                builder.environment().put("GW_CONFIG", config.toString());
                Process gateway = builder.start();
                try (BufferedReader log = gateway.inputReader()) {
                    List<String> before = new ArrayList<>();
                    for (String line = log.readLine();
                            line != null && !line.contains("phase SERVING");
                            line = log.readLine()) {
                        before.add(line);
                    }
                    assertEquals(
                            before.stream().anyMatch(line -> line.contains("SIGHUP was ignored")),
                            !ignored.isEmpty(),
                            before + "");
                    signal("-TERM", gateway);
                    log.lines().forEach(line -> {});
                    assertEquals(gateway.waitFor(), 0);
                } finally {
                    gateway.destroyForcibly();
                }
            }
        } finally {
            Files.delete(config);
        }
    }

    private static void readUntil(BufferedReader log, String text) throws Exception {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertNotNull(line, text);
    }

    private static ServerSocket listenAsDiscovery() throws Exception {
        ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        discovery.setSoTimeout(60_000);
        return discovery;
    }

    /** Returns the example configuration with a free port and the address of the given discovery server. */
    private static String configWithDiscovery(ServerSocket discovery) throws Exception {
        return Files.readString(Path.of("example/config.json"))
                .replace("127.0.0.1:7100", "127.0.0.1:0")
                .replace("127.0.0.1:7101", "127.0.0.1:" + discovery.getLocalPort());
    }

    private static String readRequestLine(Socket socket) throws Exception {
        socket.setSoTimeout(60_000);
        StringBuilder line = new StringBuilder();
        for (int character = socket.getInputStream().read();
                character != '\r';
                character = socket.getInputStream().read()) {
            line.append((char) character);
        }
        return line.toString();
    }

    private static void signal(String name, Process gateway) throws Exception {
        assertEquals(
                new ProcessBuilder("kill", name, Long.toString(gateway.pid()))
                        .start()
                        .waitFor(),
                0);
    }

    private static String startWithInvalidConfig(String valid, String invalid) throws Exception {
        Path config = Files.createTempFile("config", ".json");
        try {
            Files.writeString(
                    config, Files.readString(Path.of("example/config.json")).replace(valid, invalid));
            String text = run(1, config.toString(), program("serve"));
            assertTrue(text.contains(config.toString()), text);
            return text;
        } finally {
            Files.delete(config);
        }
    }
}
