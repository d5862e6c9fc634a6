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
 * The membership protocol in virtual time, without sockets: the members' parts are the real ones, the network between them
 * loses, delays, repeats and cuts. Seeded; the same seed and calls give the same history.
 */
public final class MembershipModel extends VirtualNet {
    /** What the network does to each message: the shares lost and repeated, and the bounds of its way, ms. */
    public record Net(double loss, double repeated, long minMs, long maxMs) {
        /** A sound network of one site. */
        public static final Net SOUND = new Net(0, 0, 0, 2);
    }

    /** A change of what one member holds of another; before is null for one that was not known. */
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
     * A model in virtual time of members that join through the seed members.
     *
     * @param seed of the random numbers
     */
    public MembershipModel(long seed, SwimConfig config, List<String> seeds) {
        super(1000, new SplittableRandom(seed));
        this.config = config;
        this.seeds = List.copyOf(seeds);
    }

    /** Starts a member, or starts it again; its address is its name. */
    public void start(String name) {
        Node node = new Node(name);
        nodes.put(name, node);
        node.scheduleTick();
    }

    /** Starts members that know one another from before, as a fleet that has run for long. */
    public void startKnown(List<String> names) {
        names.forEach(name -> nodes.put(name, new Node(name)));
        List<Member> all =
                names.stream().map(name -> nodes.get(name).detector.self()).toList();
        for (String name : names) {
            nodes.get(name).detector.addKnown(all);
            nodes.get(name).scheduleTick();
        }
    }

    /** Ends a member at once, telling nobody. */
    public void kill(String name) {
        nodes.get(name).end();
    }

    /** Stops a member for so long, as a long collection or SIGSTOP does. */
    public void pause(String name, long ms) {
        nodes.get(name).pause(ms);
    }

    /** Has a member say that it goes, and ends it half a second later. */
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

    /** Messages sent so far, by all members. */
    public long messages() {
        return messages;
    }

    /** Words of members in them. */
    public long gossipEntries() {
        return gossipEntries;
    }

    /** All changes so far, in order. */
    public List<Change> history() {
        return List.copyOf(history);
    }

    /** What one member holds of the others. */
    public FailureDetector detector(String name) {
        return nodes.get(name).detector;
    }

    /** Names that this member holds for a part of the fleet, itself among them. */
    public List<String> presentMembers(String name) {
        return detector(name).presentMembers().stream().map(Member::name).toList();
    }
}
