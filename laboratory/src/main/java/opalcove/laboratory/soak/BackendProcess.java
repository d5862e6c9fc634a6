package opalcove.laboratory.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** A backend's process. */
final class BackendProcess {
    private final String name;
    private final Path log;
    private Process process;
    private PrintStream behaviours;
    private int port;

    BackendProcess(String name, Path log) {
        this.name = name;
        this.log = log;
    }

    /** Starts the process, the second time at the port of the first; gives the port once it listens. */
    int start() throws IOException {
        process = new ProcessBuilder(ProcessCommands.java(SoakBackend.class.getName(), name, Integer.toString(port)))
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        behaviours = new PrintStream(process.getOutputStream(), true, StandardCharsets.US_ASCII);
        BufferedReader told =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII));
        String line = told.readLine();
        if (line == null) {
            throw new IOException(name + " did not start, see " + log);
        }
        port = Integer.parseInt(line);
        return port;
    }

    int port() {
        return port;
    }

    void behave(SoakBackend.Behaviour behaviour, double value) {
        behaviours.println(behaviour + " " + value);
    }

    void signal(String signalName) {
        ProcessCommands.signal(process, signalName);
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
