package opalcove.laboratory;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** Decides by the given random numbers what a network does to each message, for real datagrams and for models alike. */
final class MessageFaults {
    private static final long[] LOST = {};

    private final SplittableRandom random;
    private final Set<String> cuts = new HashSet<>();
    private final Map<String, MembershipModel.Net> nets = new HashMap<>();
    private MembershipModel.Net net;

    MessageFaults(SplittableRandom random, MembershipModel.Net net) {
        this.random = random;
        this.net = net;
    }

    /** Sets the faults from now on between members that have no faults of their own. */
    void net(MembershipModel.Net next) {
        net = next;
    }

    /** Sets the faults for all messages that one member sends and receives. */
    void net(String member, MembershipModel.Net own) {
        nets.put(member, own);
    }

    /** Drops all messages from one member to another, in that direction only. */
    void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    /** Removes all cuts. */
    void heal() {
        cuts.clear();
    }

    /** Returns the delay of each copy of a message, in ms: one, two if it is duplicated, none if it is lost or cut. */
    long[] delays(String from, String to) {
        MembershipModel.Net path = nets.getOrDefault(from, nets.getOrDefault(to, net));
        if (cuts.contains(from + ">" + to) || random.nextDouble() < path.loss()) {
            return LOST;
        }
        long[] delays = new long[random.nextDouble() < path.repeated() ? 2 : 1];
        for (int i = 0; i < delays.length; i++) {
            delays[i] = path.minMs() + random.nextLong(path.maxMs() - path.minMs() + 1);
        }
        return delays;
    }
}
