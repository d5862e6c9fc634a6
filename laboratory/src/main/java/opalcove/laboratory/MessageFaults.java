package opalcove.laboratory;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** What a network does to each message, by draws of the random numbers given: the same for real datagrams and for models. */
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

    /** What happens to each message from now on, between members that have no net of their own. */
    void net(MembershipModel.Net next) {
        net = next;
    }

    /** What happens to all that one member sends and gets. */
    void net(String member, MembershipModel.Net own) {
        nets.put(member, own);
    }

    /** Cuts the way from one member to another, in that direction only. */
    void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    /** Heals all cuts. */
    void heal() {
        cuts.clear();
    }

    /** After how long a message arrives, ms: once, twice where it is repeated, and not at all where it is lost. */
    long[] delays(String from, String to) {
        MembershipModel.Net way = nets.getOrDefault(from, nets.getOrDefault(to, net));
        if (cuts.contains(from + ">" + to) || random.nextDouble() < way.loss()) {
            return LOST;
        }
        long[] delays = new long[random.nextDouble() < way.repeated() ? 2 : 1];
        for (int i = 0; i < delays.length; i++) {
            delays[i] = way.minMs() + random.nextLong(way.maxMs() - way.minMs() + 1);
        }
        return delays;
    }
}
