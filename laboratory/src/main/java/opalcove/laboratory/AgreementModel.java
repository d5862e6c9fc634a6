package opalcove.laboratory;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import opalcove.agreement.Standing;
import opalcove.gateway.BadSettings;
import opalcove.versions.Packet;
import opalcove.versions.VersionDesk;

/**
 * Agreed versions in virtual time, without sockets: the gateways' desks are the real ones, voters and all; the network between
 * them loses, delays, repeats and cuts, processes stand still and end, and each gateway's clock is off by its own skew.
 * Seeded; the same seed and calls give the same history.
 */
public final class AgreementModel {
    /** What a proposal came to: taken or not, the version told and why; null fields until an answer came. */
    public static final class Proposed {
        private JsonObject answer;

        /** Whether an answer has come. */
        public boolean answered() {
            return answer != null;
        }

        public boolean taken() {
            return answer != null && answer.getBoolean("taken", false);
        }

        public long version() {
            return answer.getLong("v", 0);
        }

        public String reason() {
            return answer.getString("reason", "");
        }
    }

    private record Event(long at, long order, Runnable what) { }

    private final class Node implements VersionDesk.Host {
        private final String name;
        private final long skew;
        private final VersionDesk desk;
        private boolean up = true;
        private long pausedTill;
        private long tickAt = Long.MAX_VALUE;

        Node(String name, boolean votes, long skew) {
            this.name = name;
            this.skew = skew;
            desk = new VersionDesk(new VersionDesk.Setup(name, name, voters, votes, null, leaseMs,
                    new Random(random.nextLong()), text -> {
                        if (text.isEmpty()) {
                            throw new BadSettings("it is empty");
                        }
                    }), this);
        }

        @Override
        public long now() {
            return now + skew;
        }

        @Override
        public void send(String address, Packet packet) {
            carry(name, address, packet);
        }

        @Override
        public void later(long ms, Runnable task) {
            at(now + ms, () -> whenAwake(task));
        }

        @Override
        public void stands(Standing before, Standing after, String text) {
            long ended = before.mode() == Standing.Mode.FULL ? before.untilMs() - skew : now;
            acted.stands(name, after.version(), after.mode() == Standing.Mode.FULL, now, ended);
            adopted.computeIfAbsent(after.version(), version -> new TreeMap<>()).putIfAbsent(name, now);
        }

        /** Runs once the process runs: what comes while it stands still waits, as in a socket's buffer. */
        private void whenAwake(Runnable what) {
            if (!up) {
                return;
            }
            if (now < pausedTill) {
                at(pausedTill, () -> whenAwake(what));
                return;
            }
            what.run();
            arm();
        }

        private void arm() {
            long due = Math.max(now, desk.lease().due() - skew);
            if (due < tickAt) {
                tickAt = due;
                at(due, () -> {
                    if (tickAt == due) {
                        tickAt = Long.MAX_VALUE;
                        whenAwake(desk::tick);
                    }
                });
            }
        }
    }

    private final SplittableRandom random;
    private final long leaseMs;
    private final Map<String, String> voters = new LinkedHashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, Proposed> proposals = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Contradictions acted = new Contradictions();
    private final Map<Long, Map<String, Long>> adopted = new TreeMap<>();
    private MembershipModel.Net net = MembershipModel.Net.SOUND;
    private long now = 1_000_000;
    private long order;
    private long messages;

    /** Gateways g1, g2, ..., of which the first few vote; each clock is off by up to so much, either way. */
    public AgreementModel(long seed, int gateways, int voting, long leaseMs, long skewMs) {
        random = new SplittableRandom(seed);
        this.leaseMs = leaseMs;
        for (int i = 1; i <= voting; i++) {
            voters.put("g" + i, "g" + i);
        }
        for (int i = 1; i <= gateways; i++) {
            Node node = new Node("g" + i, i <= voting, skewMs == 0 ? 0 : random.nextLong(-skewMs, skewMs + 1));
            nodes.put(node.name, node);
            node.desk.start();
            node.arm();
        }
    }

    private void at(long time, Runnable what) {
        events.add(new Event(time, order++, what));
    }

    private void carry(String from, String to, Packet packet) {
        messages++;
        if (cuts.contains(from + ">" + to) || random.nextDouble() < net.loss()) {
            return;
        }
        byte[] bytes = packet.bytes();
        int copies = random.nextDouble() < net.repeated() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long ms = net.leastMs() + random.nextLong(net.mostMs() - net.leastMs() + 1);
            at(now + ms, () -> arrive(to, Packet.read(bytes)));
        }
    }

    private void arrive(String to, Packet packet) {
        Proposed proposed = proposals.get(to);
        if (proposed != null && packet.kind() == Packet.Kind.DECIDED) {
            proposed.answer = packet.body();
        }
        Node node = nodes.get(to);
        if (node != null) {
            node.whenAwake(() -> node.desk.received(packet));
        }
    }

    /** Proposes a change of the version {@code base} through a voter, again and again until somebody answers. */
    public Proposed propose(String through, long base, String text) {
        String client = "client-" + proposals.size();
        Proposed proposed = new Proposed();
        proposals.put(client, proposed);
        call(client, through, base, text, 0);
        return proposed;
    }

    private void call(String client, String through, long base, String text, int tries) {
        if (proposals.get(client).answered() || tries > 100) {
            return;
        }
        List<String> all = List.copyOf(voters.keySet());
        String voter = all.get((all.indexOf(through) + tries) % all.size());
        carry(client, voter, new Packet(client, client, Packet.Kind.PROPOSE, tries, Json.object().add("id", client)
                .add("base", base).add("by", client).add("t", Packet.packed(text))));
        at(now + 300, () -> call(client, through, base, text, tries + 1));
    }

    /** Ends a gateway at once. */
    public void kill(String name) {
        nodes.get(name).up = false;
        acted.ended(name, now);
    }

    /** Stops a gateway for so long. */
    public void pause(String name, long ms) {
        nodes.get(name).pausedTill = now + ms;
    }

    /** Cuts the way from one gateway to another, in that direction only. */
    public void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    /** Heals all cuts. */
    public void heal() {
        cuts.clear();
    }

    /** What the network does from now on. */
    public void net(MembershipModel.Net next) {
        net = next;
    }

    /** Lets so much virtual time go by. */
    public void run(long ms) {
        long end = now + ms;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event next = events.poll();
            now = Math.max(now, next.at());
            next.what().run();
        }
        now = end;
    }

    public long now() {
        return now;
    }

    /** Messages sent so far. */
    public long messages() {
        return messages;
    }

    /** What was acted on so far. */
    public Contradictions acted() {
        return acted;
    }

    /** The voter that leads, as those that run have it; null where none does. */
    public String leader() {
        return nodes.values().stream().filter(each -> each.up && now >= each.pausedTill && each.desk.leads())
                .map(each -> each.name).findFirst().orElse(null);
    }

    /** What each gateway that runs acts on. */
    public Map<String, Standing> standings() {
        Map<String, Standing> standings = new TreeMap<>();
        nodes.values().stream().filter(each -> each.up).forEach(each -> standings.put(each.name, each.desk.lease().standing()));
        return standings;
    }

    /** When each gateway first acted on a version. */
    public Map<String, Long> adopted(long version) {
        return adopted.getOrDefault(version, Map.of());
    }

    /** Whether all that run act fully on this version. */
    public boolean allActOn(long version) {
        return standings().values().stream()
                .allMatch(each -> each.version() == version && each.mode() == Standing.Mode.FULL);
    }

    /** Names of all gateways. */
    public List<String> names() {
        return new ArrayList<>(nodes.keySet());
    }
}
