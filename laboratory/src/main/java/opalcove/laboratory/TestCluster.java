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
 * Several processes of the real program on loopback, with a fault proxy between every pair. Processes are paused and
 * resumed by SIGSTOP and SIGCONT, killed, ended well, and started again; the events that they write as JSON lines are
 * gathered into one history. Whoever waits, waits for what the history shows and not for time to go by.
 */
public final class TestCluster implements AutoCloseable {
    /** A change that one process told of a member. */
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
    /** How many version events there were when a member was started last. */
    private final Map<String, Integer> eventsAtStart = new HashMap<>();

    private final List<Event> history = new ArrayList<>();
    private final List<JsonObject> versionEvents = new ArrayList<>();
    private final ConflictDetector conflicts = new ConflictDetector();

    /** A rig whose faults are drawn by the seed; its members join through those of the names given. */
    public TestCluster(long seed, int probeMs, List<String> seedMembers) throws IOException {
        this(seed, probeMs, seedMembers, List.of(), 0);
    }

    /** A rig whose members also agree on versions, by the votes of those named and on leases of that length. */
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

    /** Starts a member, or starts it again at its address. */
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

    /** A version's text that allows so many attempts. */
    static String document(int attempts) {
        JsonObject settings = Json.parse(Laboratory.settingsText()).asObject();
        settings.get("ceilings").asObject().set("max_attempts", attempts);
        return Json.object().add("settings", settings).toString();
    }

    /** Where a member keeps its vote. */
    public Path state(String name) {
        return folder.resolve(name + ".state");
    }

    /** Has writes of a member's state fail from now on: what stands in the place of the new file cannot be replaced. */
    public void failStateWrites(String name) throws IOException, InterruptedException {
        for (int attempt = 1; ; attempt++) {
            try {
                Files.createDirectories(obstacle(name));
                return;
            } catch (FileSystemException e) {
                // The member is writing: the place is taken until it has moved its new file.
                if (attempt == MAX_OBSTACLE_ATTEMPTS) {
                    throw e;
                }
                Thread.sleep(1);
            }
        }
    }

    /** Lets writes of a member's state succeed again: an empty folder in the place of the new file is no obstacle. */
    public void allowStateWrites(String name) throws IOException {
        Files.deleteIfExists(obstacle(name));
    }

    private Path obstacle(String name) {
        return folder.resolve(name + ".state.part").resolve("obstacle");
    }

    /** Where a member keeps what it knows over a power loss. */
    public Path snapshot(String name) {
        return folder.resolve(name + ".snapshot");
    }

    /** What a member last told of its way back, such as {@code FULL}; empty where it told nothing. */
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

    /** Asks the voters as an operator's command does, past all faults between members; this one first. */
    public ReplicationClient client(String first) throws IOException {
        List<HostAndPort> addresses = new ArrayList<>();
        addresses.add(HostAndPort.parse(versionProxy.addressOf(first), "address"));
        for (String each : voters) {
            addresses.add(HostAndPort.parse(versionProxy.addressOf(each), "address"));
        }
        return new ReplicationClient(addresses, CLIENT_TIMEOUT_MS);
    }

    /** Ends each call for a node list at once: the port is the rig's own, so that no member ever calls somebody else. */
    private void closeDiscoveryConnections() {
        while (!discovery.isClosed()) {
            try {
                discovery.accept().close();
            } catch (IOException e) {
                // Closed, or the caller was gone first: the next call, if there is one, is ended too.
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
            // The process has ended amid a line.
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
            System.err.println("rig: not an event: " + line);
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

    /** What members told of agreed versions, in the order in which it came in. */
    public synchronized List<JsonObject> versionEvents() {
        return List.copyOf(versionEvents);
    }

    /** Whether a member has told anything of agreed versions since its last start. */
    public synchronized boolean hasReported(String name) {
        return versionEvents.stream()
                .skip(eventsAtStart.getOrDefault(name, 0))
                .anyMatch(each -> each.getString("observer", "").equals(name));
    }

    /** The version that a member last said it acts on, and how, such as {@code 2 FULL}; empty where it said nothing. */
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

    /** The member that last said that it leads the voters, of those that run; empty where none does. */
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

    /** Cases in which two members acted on different versions for longer than that. */
    public synchronized List<ConflictDetector.Case> conflictsLongerThan(long boundMs) {
        return conflicts.conflictsLongerThan(boundMs, System.currentTimeMillis());
    }

    /** Kills a member's process; it tells nobody. */
    public void kill(String name) throws InterruptedException {
        Process process = processes.remove(name);
        process.destroyForcibly();
        process.waitFor();
        synchronized (this) {
            conflicts.recordEnd(name, System.currentTimeMillis());
        }
    }

    /** Ends a member's process well (SIGTERM). */
    public void leave(String name) {
        processes.remove(name).destroy();
    }

    /** Stops a member's process where it stands (SIGSTOP). */
    public void pause(String name) throws IOException, InterruptedException {
        signal("-STOP", name);
    }

    /** Stops a member's process for so long. */
    public void pauseFor(String name, long ms) throws IOException, InterruptedException {
        pause(name);
        Thread.sleep(ms);
        resume(name);
    }

    /** Lets a paused process go on (SIGCONT). */
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

    /** Cuts the way from one member to another, in that direction only. */
    public void cut(String from, String to) {
        proxy.cut(from, to);
        versionProxy.cut(from, to);
    }

    /** Heals all cuts. */
    public void heal() {
        proxy.heal();
        versionProxy.heal();
    }

    /** What happens to each datagram from now on. */
    public void net(MembershipModel.Net net) {
        proxy.net(net);
        versionProxy.net(net);
    }

    /** What happens to all that one member sends and gets. */
    public void net(String name, MembershipModel.Net own) {
        proxy.net(name, own);
        versionProxy.net(name, own);
    }

    /** Datagrams that members sent so far. */
    public long datagramsSent() {
        return proxy.datagramsSent();
    }

    /** Their bytes. */
    public long bytesSent() {
        return proxy.bytesSent();
    }

    /** All events so far, in the order in which they came in. */
    public synchronized List<Event> history() {
        return List.copyOf(history);
    }

    /** What a member last told of another: its state, or UNKNOWN. */
    public synchronized String lastState(String observer, String name) {
        String state = "UNKNOWN";
        for (Event each : history) {
            if (each.observer().equals(observer) && each.name().equals(name)) {
                state = each.state();
            }
        }
        return state;
    }

    /** Waits until the history is as wanted, for so long at most; tells whether it came to be. */
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

    /** Whether each of these members holds each other one for alive. */
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
