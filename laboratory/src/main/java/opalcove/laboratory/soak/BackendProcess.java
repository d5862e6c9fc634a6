package opalcove.laboratory.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Starts, signals and kills the process of one {@link SoakBackend}. */
final class BackendProcess {
    private final String name;
    private final Path log;
    private Process process;
    private PrintStream behaviours;
    private final ReservedPort port = new ReservedPort();

    BackendProcess(String name, Path log) throws IOException {
        this.name = name;
        this.log = log;
    }

    /** Starts the process, always on the same port, and returns the port once the process listens. */
    int start() throws IOException {
        process = new ProcessBuilder(
                        ProcessCommands.java(SoakBackend.class.getName(), name, Integer.toString(port.number())))
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        behaviours = new PrintStream(process.getOutputStream(), true, StandardCharsets.US_ASCII);
        BufferedReader output =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII));
        String line = output.readLine();
        if (line == null) {
            throw new IOException(name + " exited before it printed its port, see " + log);
        }
        return port();
    }

    int port() {
        return port.number();
    }

    void behave(SoakBackend.Behaviour behaviour, double value) {
        behaviours.println(behaviour + " " + value);
    }

    void signal(String signalName) {
        ProcessCommands.signal(process, signalName);
    }

    /** Kills the process and releases its port. */
    void close() throws IOException {
        kill();
        port.close();
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
