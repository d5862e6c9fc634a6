package opalcove.laboratory;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Counts the system calls of a process with strace, if the machine has it and allows it to attach. */
final class Strace implements AutoCloseable {
    private static final String CALLS =
            "read,write,readv,writev,recvfrom,sendto,sendmsg,recvmsg,epoll_wait,epoll_pwait";
    private static final int TIMEOUT_S = 20;

    private final Path summary;
    private final Process strace;

    /** Attaches to all threads of the process; throws an IOException if strace cannot attach. */
    Strace(long pid) throws IOException {
        summary = Files.createTempFile("strace", ".txt");
        strace = new ProcessBuilder(
                        "strace",
                        "-f",
                        "-c",
                        "-o",
                        summary.toString(),
                        "-e",
                        "trace=" + CALLS,
                        "-p",
                        Long.toString(pid))
                .redirectErrorStream(true)
                .start();
        BufferedReader output = strace.inputReader();
        String line = output.readLine();
        if (line == null || !line.contains("attached")) {
            close();
            throw new IOException("strace does not attach: " + line);
        }
    }

    /** Returns whether an executable strace is on the path of this machine. */
    static boolean isInstalled() {
        return List.of(System.getenv().getOrDefault("PATH", "").split(":")).stream()
                .anyMatch(folder -> Files.isExecutable(Path.of(folder, "strace")));
    }

    /** Detaches and returns the number of calls by the name of the system call. */
    Map<String, Long> stop() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-INT", Long.toString(strace.pid())).start().waitFor();
        if (!strace.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new IOException("strace does not end");
        }
        Map<String, Long> calls = new TreeMap<>();
        for (String line : Files.readAllLines(summary)) {
            // The columns are: % time, seconds, usecs/call, calls, errors (may be empty), name.
            String[] fields = line.strip().split("\\s+");
            if (fields.length >= 5 && fields[0].matches("[0-9.]+") && !fields[fields.length - 1].equals("total")) {
                calls.put(fields[fields.length - 1], Long.parseLong(fields[3]));
            }
        }
        return calls;
    }

    @Override
    public void close() throws IOException {
        strace.destroy();
        Files.deleteIfExists(summary);
    }
}
