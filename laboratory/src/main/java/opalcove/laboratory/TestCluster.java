package opalcove.laboratory;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.ParseException;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import opalcove.cluster.MembershipCodec;
import opalcove.config.HostAndPort;
import opalcove.replication.ReplicationClient;
import opalcove.replication.ReplicationMessage;

/**
 * Runs several processes of the real program on loopback, with a fault proxy between each pair. Processes can be paused and
 * resumed by SIGSTOP and SIGCONT, killed, shut down by SIGTERM and started again. The events that they write as JSON lines are
 * collected into one history. Waits are for a state of the history and not for a fixed time.
 */
public final class TestCluster implements AutoCloseable {
    /** A change of a member's state that one process reported. */
    public record Event(long atMs, String observer, String name, String state, String before, long incarnation) {}

    private static final long CLIENT_TIMEOUT_MS = 30_000;
    private static final int MAX_OBSTACLE_ATTEMPTS = 1000;

    private final Path folder;
    private final FaultProxy proxy;
    private final FaultProxy versionProxy;
    private final ServerSocket discovery = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final List<String> voters;
    private final int leaseMs;
    private final int probeMs;
    private final List<String> seeds;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    /** The number of version events at the last start of each member. */
    private final Map<String, Integer> eventsAtStart = new HashMap<>();

    private final List<Event> history = new ArrayList<>();
    private final List<JsonObject> versionEvents = new ArrayList<>();
    private final ConflictDetector conflicts = new ConflictDetector();

    /** Creates a cluster whose faults are drawn by the seed and whose members join through the given seed members. */
    public TestCluster(long seed, int probeMs, List<String> seedMembers) throws IOException {
        this(seed, probeMs, seedMembers, List.of(), 0);
    }

    /** Creates a cluster whose members also replicate the configuration, with the given voters and leases of the given ms. */
    public TestCluster(long seed, int probeMs, List<String> seedMembers, List<String> voters, int leaseMs)
            throws IOException {
        folder = Files.createTempDirectory("rig");
        proxy = new FaultProxy(
                seed, datagram -> MembershipCodec.read(datagram).from().name());
        versionProxy = new FaultProxy(
                seed + 1, datagram -> ReplicationMessage.read(datagram).from());
        this.voters = List.copyOf(voters);
        this.leaseMs = leaseMs;
        Thread closer = new Thread(this::closeDiscoveryConnections, "no-discovery");
        closer.setDaemon(true);
        closer.start();
        this.probeMs = probeMs;
        seeds = new ArrayList<>();
        for (String each : seedMembers) {
            seeds.add(proxy.addressOf(each));
        }
    }

    /** Starts a member, or restarts it at the same address. */
    public void start(String name) throws IOException {
        Path config = folder.resolve(name + ".json");
        JsonArray seedAddresses = new JsonArray();
        seeds.forEach(seedAddresses::add);
        JsonObject membership = Json.object()
                .add("listen", "127.0.0.1:0")
                .add("advertise", proxy.addressOf(name))
                .add("seeds", seedAddresses)
                .add("probe_ms", probeMs)
                .add("events", true);
        JsonObject file = Json.object()
                .add("name", name)
                .add("listen", "127.0.0.1:0")
                .add("discovery", "127.0.0.1:" + discovery.getLocalPort())
                .add("rehearsal_ms", 0)
                .add("membership", membership)
                .add("settings", Json.parse(Laboratory.settingsText()));
        if (!voters.isEmpty()) {
            JsonArray voterAddresses = new JsonArray();
            for (String each : voters) {
                voterAddresses.add(Json.object().add("name", each).add("address", versionProxy.addressOf(each)));
            }
            file.add(
                    "agreement",
                    Json.object()
                            .add("listen", "127.0.0.1:0")
                            .add("advertise", versionProxy.addressOf(name))
                            .add("voters", voterAddresses)
                            .add("lease_ms", leaseMs)
                            .add("state_file", state(name).toString())
                            .add("snapshot_file", snapshot(name).toString())
                            .add("events", true));
        }
        Files.writeString(config, file.toString());
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx48m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "opalcove.Main",
                        "serve")
                .redirectError(folder.resolve(name + ".log").toFile());
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().keySet().removeIf(key -> key.startsWith("GW_") && !key.equals("GW_CONFIG"));
        synchronized (this) {
            eventsAtStart.put(name, versionEvents.size());
        }
        Process process = builder.start();
        process.getOutputStream().close();
        processes.put(name, process);
        Thread reader = new Thread(() -> readEvents(process), "events-" + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Returns the text of a version that allows the given number of attempts. */
    static String document(int attempts) {
        JsonObject settings = Json.parse(Laboratory.settingsText()).asObject();
        settings.get("ceilings").asObject().set("max_attempts", attempts);
        return Json.object().add("settings", settings).toString();
    }

    /** Returns the file in which a member stores its vote. */
    public Path state(String name) {
        return folder.resolve(name + ".state");
    }

    /** Makes writes of a member's state fail from now on, with a directory that is not empty at the path of the new file. */
    public void failStateWrites(String name) throws IOException, InterruptedException {
        for (int attempt = 1; ; attempt++) {
            try {
                Files.createDirectories(obstacle(name));
                return;
            } catch (FileSystemException e) {
                // The member is writing: its new file occupies the path until the member has moved it.
                if (attempt == MAX_OBSTACLE_ATTEMPTS) {
                    throw e;
                }
                Thread.sleep(1);
            }
        }
    }

    /** Lets writes of a member's state succeed again: an empty directory at the path of the new file does not prevent them. */
    public void allowStateWrites(String name) throws IOException {
        Files.deleteIfExists(obstacle(name));
    }

    private Path obstacle(String name) {
        return folder.resolve(name + ".state.part").resolve("obstacle");
    }

    /** Returns the snapshot file, from which a member recovers after a power loss. */
    public Path snapshot(String name) {
        return folder.resolve(name + ".snapshot");
    }

    /** Returns the last recovery phase that a member reported, such as {@code FULL}, or an empty string if it reported none. */
    public synchronized String recovery(String name) {
        String phase = "";
        for (JsonObject each : versionEvents) {
            if (each.getString("observer", "").equals(name)
                    && each.getString("event", "").equals("recovery")) {
                phase = each.getString("phase", "");
            }
        }
        return phase;
    }

    /** Returns a client as the command line uses it, which tries the given member first and is not subject to the faults. */
    public ReplicationClient client(String first) throws IOException {
        List<HostAndPort> addresses = new ArrayList<>();
        addresses.add(HostAndPort.parse(versionProxy.addressOf(first), "door"));
        for (String each : voters) {
            addresses.add(HostAndPort.parse(versionProxy.addressOf(each), "door"));
        }
        return new ReplicationClient(addresses, CLIENT_TIMEOUT_MS);
    }

    /** Closes each discovery connection at once. The cluster owns the port, so that no member connects to another process. */
    private void closeDiscoveryConnections() {
        while (!discovery.isClosed()) {
            try {
                discovery.accept().close();
            } catch (IOException e) {
                // The port is closed, or the member closed the connection first; the loop goes on while the port is
                // open.
                continue;
            }
        }
    }

    private void readEvents(Process process) {
        try (BufferedReader lines = process.inputReader()) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                addEvent(line);
            }
        } catch (IOException e) {
            // The process ended in the middle of a line.
            return;
        }
    }

    private synchronized void addEvent(String line) {
        try {
            JsonObject event = Json.parse(line).asObject();
            if (!event.getString("event", "").equals("member")) {
                addVersionEvent(event);
                notifyAll();
                return;
            }
            history.add(new Event(
                    event.getLong("at_ms", 0),
                    event.getString("observer", ""),
                    event.getString("name", ""),
                    event.getString("state", ""),
                    event.getString("before", ""),
                    event.getLong("incarnation", 0)));
        } catch (ParseException | UnsupportedOperationException e) {
            System.err.println("test cluster: not an event: " + line);
        }
        notifyAll();
    }

    private void addVersionEvent(JsonObject event) {
        versionEvents.add(event);
        if (event.getString("event", "").equals("acting")) {
            conflicts.recordState(
                    event.getString("observer", ""),
                    event.getLong("version", 0),
                    event.getString("mode", "").equals("FULL"),
                    event.getLong("at_ms", 0),
                    event.getLong("ended_ms", 0));
        }
    }

    /** Returns the events about versions from all members, in the order in which they arrived. */
    public synchronized List<JsonObject> versionEvents() {
        return List.copyOf(versionEvents);
    }

    /** Whether a member has reported any event about versions since its last start. */
    public synchronized boolean hasReported(String name) {
        return versionEvents.stream()
                .skip(eventsAtStart.getOrDefault(name, 0))
                .anyMatch(each -> each.getString("observer", "").equals(name));
    }

    /** Returns the version and mode that a member last reported, such as {@code 2 FULL}, or an empty string if it reported none. */
    public synchronized String actsOn(String name) {
        String acting = "";
        for (JsonObject each : versionEvents) {
            if (each.getString("observer", "").equals(name)
                    && each.getString("event", "").equals("acting")) {
                acting = each.getLong("version", 0) + " " + each.getString("mode", "");
            }
        }
        return acting;
    }

    /** Returns the running member that last reported that it leads the voters, or an empty string if there is none. */
    public synchronized String leader() {
        String leader = "";
        for (JsonObject each : versionEvents) {
            String name = each.getString("observer", "");
            if (each.getString("event", "").equals("leads") && processes.containsKey(name)) {
                leader = each.getBoolean("leads", false) ? name : leader.equals(name) ? "" : leader;
            }
        }
        return leader;
    }

    /** Returns the conflicts in which two members acted on different versions for longer than the bound, in ms. */
    public synchronized List<ConflictDetector.Case> conflictsLongerThan(long boundMs) {
        return conflicts.conflictsLongerThan(boundMs, System.currentTimeMillis());
    }

    /** Kills a member's process (SIGKILL), so that it cannot notify the others. */
    public void kill(String name) throws InterruptedException {
        Process process = processes.remove(name);
        process.destroyForcibly();
        process.waitFor();
        synchronized (this) {
            conflicts.recordEnd(name, System.currentTimeMillis());
        }
    }

    /** Shuts down a member's process (SIGTERM). */
    public void leave(String name) {
        processes.remove(name).destroy();
    }

    /** Pauses a member's process (SIGSTOP). */
    public void pause(String name) throws IOException, InterruptedException {
        signal("-STOP", name);
    }

    /** Pauses a member's process for the given ms and resumes it. */
    public void pauseFor(String name, long ms) throws IOException, InterruptedException {
        pause(name);
        Thread.sleep(ms);
        resume(name);
    }

    /** Resumes a paused process (SIGCONT). */
    public void resume(String name) throws IOException, InterruptedException {
        signal("-CONT", name);
    }

    private void signal(String signal, String name) throws IOException, InterruptedException {
        int exit = new ProcessBuilder(
                        "kill", signal, Long.toString(processes.get(name).pid()))
                .start()
                .waitFor();
        if (exit != 0) {
            throw new IOException("kill " + signal + " " + name + " ended with " + exit);
        }
    }

    /** Drops all datagrams from one member to another, in that direction only. */
    public void cut(String from, String to) {
        proxy.cut(from, to);
        versionProxy.cut(from, to);
    }

    /** Removes all cuts. */
    public void heal() {
        proxy.heal();
        versionProxy.heal();
    }

    /** Sets the faults from now on between members that have no faults of their own. */
    public void net(MembershipModel.Net net) {
        proxy.net(net);
        versionProxy.net(net);
    }

    /** Sets the faults for all datagrams that one member sends and receives. */
    public void net(String name, MembershipModel.Net own) {
        proxy.net(name, own);
        versionProxy.net(name, own);
    }

    /** Returns the number of membership datagrams that members have sent so far. */
    public long datagramsSent() {
        return proxy.datagramsSent();
    }

    /** Returns the number of bytes in the membership datagrams that members have sent so far. */
    public long bytesSent() {
        return proxy.bytesSent();
    }

    /** Returns all membership events so far, in the order in which they arrived. */
    public synchronized List<Event> history() {
        return List.copyOf(history);
    }

    /** Returns the state that the observer last reported of another member, or UNKNOWN. */
    public synchronized String lastState(String observer, String name) {
        String state = "UNKNOWN";
        for (Event each : history) {
            if (each.observer().equals(observer) && each.name().equals(name)) {
                state = each.state();
            }
        }
        return state;
    }

    /** Waits until the condition holds, for at most the given ms. Returns whether it holds. */
    public synchronized boolean await(Predicate<TestCluster> condition, long maxMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMs);
        while (!condition.test(this)) {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (remainingMs <= 0) {
                return false;
            }
            wait(remainingMs);
        }
        return true;
    }

    /** Whether each of the given members last reported each of the others as alive. */
    public boolean allAlive(List<String> names) {
        return names.stream().allMatch(observer -> names.stream()
                .allMatch(name ->
                        name.equals(observer) || lastState(observer, name).equals("ALIVE")));
    }

    @Override
    public void close() throws IOException {
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(process -> process.onExit().join());
        proxy.close();
        versionProxy.close();
        discovery.close();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
