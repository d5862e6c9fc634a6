package opalcove.laboratory.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Command lines and signals for the soak's processes. */
final class ProcessCommands {
    private static final int SIGNAL_S = 10;

    private ProcessCommands() {}

    /** Returns a command that runs the main class with the class path of this process. */
    static List<String> java(String mainClass, String... arguments) {
        return javaOf(System.getProperty("java.class.path"), mainClass, arguments);
    }

    /** Returns a command that runs the main class with the given class path. */
    static List<String> javaOf(String classPath, String mainClass, String... arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xshare:auto",
                "-Xms24m",
                "-Xmx48m",
                "-Xss512k",
                "-XX:MaxDirectMemorySize=24m",
                "-XX:+ExitOnOutOfMemoryError",
                "-Dvertx.disableDnsResolver=true",
                "-cp",
                classPath,
                mainClass));
        command.addAll(List.of(arguments));
        return command;
    }

    /** Sends a signal to a child process, if it is still running. */
    static void signal(Process process, String name) {
        if (!process.isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor(SIGNAL_S, TimeUnit.SECONDS);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
