package opalcove.laboratory;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import opalcove.membership.FailureDetector;
import opalcove.membership.Member;
import opalcove.membership.SwimConfig;
import opalcove.membership.SwimMessage;

/**
 * Simulates the membership protocol in virtual time, without sockets. The members run the real {@link FailureDetector}, and
 * the network between them loses, delays, duplicates and cuts messages. The same seed and the same calls give the same
 * history.
 */
public final class MembershipModel extends VirtualNet {
    /**
     * The faults of a network.
     *
     * @param loss the share of messages lost, from 0 to 1
     * @param repeated the share of messages delivered twice, from 0 to 1
     * @param minMs the shortest delay of a message, in ms
     * @param maxMs the longest delay of a message, in ms
     */
    public record Net(double loss, double repeated, long minMs, long maxMs) {
        /** A network within one site, without faults. */
        public static final Net SOUND = new Net(0, 0, 0, 2);
    }

    /** A change of the state that the observer has recorded for a member; {@code before} is null if it did not know the member. */
    public record Change(long at, String observer, Member before, Member after) {}

    private final class Node extends Process {
        final String name;
        final long incarnation;
        final FailureDetector detector;
        long tickAt = Long.MAX_VALUE;

        Node(String name) {
            this.name = name;
            incarnation = now() + 1;
            detector = new FailureDetector(
                    now(), name, name, incarnation, seeds, config, random.split(), new FailureDetector.Host() {
                        @Override
                        public void send(String address, SwimMessage message) {
                            transmit(name, address, message);
                        }

                        @Override
                        public void memberChanged(Member before, Member after) {
                            history.add(new Change(now(), name, before, after));
                        }
                    });
        }

        @Override
        void scheduleTick() {
            long due = Math.max(now(), detector.nextTickMs());
            if (due < tickAt) {
                tickAt = due;
                at(due, () -> {
                    if (tickAt == due) {
                        tickAt = Long.MAX_VALUE;
                        whenAwake(() -> detector.tick(now()));
                    }
                });
            }
        }
    }

    private final SwimConfig config;
    private final List<String> seeds;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long messages;
    private long gossipEntries;

    /**
     * Creates a model without members.
     *
     * @param seed the seed of the random numbers
     * @param config the timing of the protocol
     * @param seeds the names of the members through which the others join
     */
    public MembershipModel(long seed, SwimConfig config, List<String> seeds) {
        super(1000, new SplittableRandom(seed));
        this.config = config;
        this.seeds = List.copyOf(seeds);
    }

    /** Starts or restarts a member, whose address is its name. */
    public void start(String name) {
        Node node = new Node(name);
        nodes.put(name, node);
        node.scheduleTick();
    }

    /** Starts members that already know each other, as in a fleet that has run for a long time. */
    public void startKnown(List<String> names) {
        names.forEach(name -> nodes.put(name, new Node(name)));
        List<Member> all =
                names.stream().map(name -> nodes.get(name).detector.self()).toList();
        for (String name : names) {
            nodes.get(name).detector.addKnown(all);
            nodes.get(name).scheduleTick();
        }
    }

    /** Ends a member without notice to the others. */
    public void kill(String name) {
        nodes.get(name).end();
    }

    /** Pauses a member for the given time, as a long garbage collection or SIGSTOP does. */
    public void pause(String name, long ms) {
        nodes.get(name).pause(ms);
    }

    /** Makes a member announce that it leaves, and ends it 500 ms later. */
    public void leave(String name) {
        Node node = nodes.get(name);
        node.whenAwake(() -> node.detector.leave(now()));
        at(now() + 500, node::end);
    }

    private void transmit(String from, String to, SwimMessage message) {
        messages++;
        gossipEntries += message.gossip().size();
        Node target = nodes.get(to);
        if (target != null) {
            transmit(from, to, () -> target.whenAwake(() -> target.detector.receive(now(), message)));
        }
    }

    /** Returns the number of messages that all members have sent so far. */
    public long messages() {
        return messages;
    }

    /** Returns the number of gossip entries in all messages sent so far. */
    public long gossipEntries() {
        return gossipEntries;
    }

    /** Returns all changes so far, in the order of time. */
    public List<Change> history() {
        return List.copyOf(history);
    }

    /** Returns the failure detector of a member. */
    public FailureDetector detector(String name) {
        return nodes.get(name).detector;
    }

    /** Returns the names of the members that this member considers present, itself included. */
    public List<String> presentMembers(String name) {
        return detector(name).presentMembers().stream().map(Member::name).toList();
    }
}
