package opalcove.laboratory.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process with its configuration file and its log. Used by several threads. */
final class GatewayProcess implements ClientConnection.Gateway {
    /** The part of a request's deadline that extends the time between SIGTERM and the kill is at most this long, ms. */
    private static final int MAX_COUNTED_DEADLINE_MS = 3000;
    /**
     * Requests that arrive within this time after a SIGTERM get a response, and the kill comes at the earliest one
     * deadline after this time, ms.
     */
    static final int TERMINATION_NOTICE_MS = 700;

    private static final int PING_EVERY_MS = 25;
    private static final int READY_MS = 10_000;
    /**
     * Time limit of a start, ms. It is longer than {@link #READY_MS}, since a start takes longer on a machine with
     * other load.
     */
    private static final int TIMEOUT_MS = 30_000;

    private static final int DESCRIPTORS = 256;

    /**
     * The files that gateways are started from.
     *
     * @param shimLibrary the library that makes system calls fail, if the machine can build it
     * @param gatewayClassPath the class path of the gateway program
     */
    record ProgramFiles(Optional<Path> shimLibrary, String gatewayClassPath) {}

    private static final Pattern COUNTED_VIOLATION = Pattern.compile("rule_broken\\.(\\w+)=([1-9]\\d*)");
    private static final Pattern COUNTED_GUARD_STOP =
            Pattern.compile("(stopped_by_guards|ended_by_deadline_guard)=([1-9]\\d*)");

    private final int number;
    private final SoakPlan plan;
    private final Path folder;
    private final SoakClock clock;
    private final List<SoakViolation> violations;
    /** The gateway's port, which stays the same when the gateway restarts. */
    private final ReservedPort port = new ReservedPort();

    private final Optional<FaultShim> shim;
    private final ProgramFiles programFiles;
    private volatile Process process;
    /** The process that the soak is terminating or has terminated. */
    private volatile Process terminated;

    private volatile boolean killed;
    private volatile double terminationSentAt = -1;

    GatewayProcess(
            int number,
            SoakPlan plan,
            Path folder,
            SoakClock clock,
            ProgramFiles programFiles,
            List<SoakViolation> violations)
            throws IOException {
        this.number = number;
        this.plan = plan;
        this.folder = folder;
        this.clock = clock;
        this.programFiles = programFiles;
        this.violations = violations;
        shim = programFiles.shimLibrary().isPresent()
                ? Optional.of(new FaultShim(folder.resolve("shim-" + number)))
                : Optional.empty();
    }

    int port() {
        return port.number();
    }

    Optional<FaultShim> shim() {
        return shim;
    }

    /** Replaces the configuration file, which the gateway reads at its next start or SIGHUP. */
    void configure(int discoveryPort, int maxAttempts, JsonObject known) throws IOException {
        JsonObject file = Json.object()
                .add("name", "gateway-" + number)
                .add("listen", "127.0.0.1:" + port())
                .add("discovery", "127.0.0.1:" + discoveryPort)
                .add("limits", Json.object().add("sockets", DESCRIPTORS))
                .add("known", known)
                .add("settings", plan.settings(number, maxAttempts));
        Path next = folder.resolve("gateway-" + number + ".next");
        Files.writeString(next, file.toString());
        Files.move(next, config(), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    private Path config() {
        return folder.resolve("gateway-" + number + ".json");
    }

    private Path log() {
        return folder.resolve("gateway-" + number + ".log");
    }

    /** Starts the process and waits until it responds to a PING. */
    void start() throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder(
                        ProcessCommands.javaOf(programFiles.gatewayClassPath(), "opalcove.Main", "serve"))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        builder.environment().keySet().removeIf(key -> key.startsWith("GW_"));
        builder.environment().put("GW_CONFIG", config().toString());
        shim.ifPresent(each -> each.loadInto(builder, programFiles.shimLibrary().orElseThrow()));
        double startedAt = clock.now();
        killed = false;
        terminationSentAt = -1;
        Process started = builder.start();
        process = started;
        started.onExit().thenRun(() -> exited(started));
        while (!respondsToPing()) {
            if (!started.isAlive()) {
                return;
            }
            if (clock.now() - startedAt > TIMEOUT_MS) {
                addViolation(SoakRule.READY, "no response to PING within " + TIMEOUT_MS + " ms of the start");
                return;
            }
            Thread.sleep(PING_EVERY_MS);
        }
        double readyMs = clock.now() - startedAt;
        if (readyMs > READY_MS) {
            addViolation(SoakRule.READY, "first response to PING " + Math.round(readyMs) + " ms after the start");
        }
    }

    private boolean respondsToPing() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port())) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write(RespCommands.command("PING").getBytes(StandardCharsets.US_ASCII));
            byte[] response = socket.getInputStream().readNBytes(7);
            return new String(response, StandardCharsets.US_ASCII).equals("+PONG\r\n");
        } catch (IOException notYet) {
            return false;
        }
    }

    private void exited(Process ended) {
        if (ended != terminated) {
            addViolation(
                    SoakRule.NO_CRASH,
                    "process exited without a signal from the soak, exit code " + ended.exitValue() + "\n" + tail());
        }
    }

    private void addViolation(SoakRule rule, String what) {
        violations.add(new SoakViolation(rule, number, clock.now(), what));
    }

    @Override
    public boolean killed() {
        return killed;
    }

    @Override
    public double terminationSentAt() {
        return terminationSentAt;
    }

    /** How long after SIGTERM a process is killed, ms: the longest deadline plus the notice. */
    private static int killAfterMs() {
        int longestMs = Arrays.stream(SoakClass.values())
                .mapToInt(each -> each.deadlineMs)
                .max()
                .orElseThrow();
        return Math.min(longestMs, MAX_COUNTED_DEADLINE_MS) + TERMINATION_NOTICE_MS;
    }

    void signal(String name) {
        Process now = process;
        if (now != null) {
            ProcessCommands.signal(now, name);
        }
    }

    void kill() throws InterruptedException {
        killed = true;
        terminated = process;
        process.destroyForcibly();
        process.waitFor();
    }

    /** Terminates the process by SIGTERM, and kills it if it is still running after the time that a platform grants. */
    void terminate() throws InterruptedException {
        Process now = process;
        terminated = now;
        double signalledAt = clock.now();
        terminationSentAt = signalledAt;
        ProcessCommands.signal(now, "TERM");
        if (now.waitFor(killAfterMs(), TimeUnit.MILLISECONDS)) {
            // If SIGTERM arrives before the shutdown hook is set, the JVM exits with 143, which is allowed as well.
            if (now.exitValue() != 0 && now.exitValue() != 143) {
                addViolation(
                        SoakRule.ENDS_WELL,
                        "exit code " + now.exitValue() + " after SIGTERM, expected 0 or 143\n" + tail());
            }
        } else {
            killed = true;
            now.destroyForcibly();
            now.waitFor();
            addViolation(
                    SoakRule.ENDS_WELL,
                    String.format(
                            "still running and killed %.0f ms after SIGTERM%n%s", clock.now() - signalledAt, tail()));
        }
    }

    /** Checks how many file descriptors the process has open. */
    void checkDescriptors() {
        Process now = process;
        if (now == null || !now.isAlive()) {
            return;
        }
        String[] open = new File("/proc/" + now.pid() + "/fd").list();
        if (open != null && open.length > DESCRIPTORS) {
            addViolation(SoakRule.DESCRIPTORS, open.length + " open descriptors, limit " + DESCRIPTORS);
        }
    }

    /** Checks the log of the process for errors, buffer leaks, and rule violations that the gateway counted itself. */
    void checkLog() throws IOException {
        for (String line : Files.readAllLines(log(), StandardCharsets.ISO_8859_1)) {
            Matcher rule = COUNTED_VIOLATION.matcher(line);
            Matcher guardStop = COUNTED_GUARD_STOP.matcher(line);
            if (isLateBecauseOfStall(line)) {
                continue;
            }
            if (rule.find()) {
                addViolation(SoakRule.OWN_CHECKS, "counter " + rule.group());
            } else if (guardStop.find()) {
                addViolation(SoakRule.OWN_CHECKS, "counter " + guardStop.group());
            } else if (line.contains(" ERROR ") || line.contains("LEAK")) {
                addViolation(SoakRule.OWN_CHECKS, "log line: " + line);
            }
        }
    }

    /**
     * Whether the line reports a late response of a gateway that the soak has stopped by SIGSTOP. Such reports are
     * expected; the oracle checks how late the responses are.
     */
    private boolean isLateBecauseOfStall(String line) {
        boolean late = line.contains("answer_in_time")
                || line.contains(" at its deadline")
                || line.startsWith("ended_by_deadline_guard");
        return late
                && plan.faults().stream()
                        .anyMatch(fault -> fault.kind() == FaultType.GATEWAY_PAUSE && fault.target() == number);
    }

    private String tail() {
        try {
            List<String> lines = new ArrayList<>(Files.readAllLines(log(), StandardCharsets.ISO_8859_1));
            return String.join("\n", lines.subList(Math.max(0, lines.size() - 8), lines.size()));
        } catch (IOException e) {
            return e.getMessage();
        }
    }

    /** Kills the process if it has been started. */
    void destroy() {
        killed = true;
        Process now = process;
        terminated = now;
        if (now != null) {
            now.destroyForcibly();
        }
    }

    void close() throws IOException {
        destroy();
        if (process != null) {
            process.onExit().join();
        }
        port.close();
    }
}
