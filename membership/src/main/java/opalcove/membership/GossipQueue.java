package opalcove.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of the gossip entries that this member still has to send. Each entry is sent a number of times that grows with
 * the logarithm of the fleet's size; a newer entry about a member replaces the older ones. Owned by the thread of its
 * {@link FailureDetector}.
 */
final class GossipQueue {
    /** Sorts entries by number of transmissions; names break ties, so that the order does not depend on hashing. */
    private static final Comparator<Broadcast> FEWEST_SENT_FIRST = Comparator.comparingInt(Broadcast::transmissions)
            .thenComparing(each -> each.entry().member().name())
            .thenComparing(each -> each.entry().accuser());

    private final SwimConfig config;
    private final Map<String, Broadcast> broadcasts = new HashMap<>();

    GossipQueue(SwimConfig config) {
        this.config = config;
    }

    /** Queues an entry; it replaces a queued one about the same member with the same accuser. */
    void enqueue(GossipEntry entry) {
        broadcasts.put(entry.member().name() + " " + entry.accuser(), new Broadcast(entry));
    }

    /** Discards all entries about a member, which are out of date. */
    void discardAbout(String memberName) {
        broadcasts.keySet().removeIf(key -> key.startsWith(memberName + " "));
    }

    void clear() {
        broadcasts.clear();
    }

    boolean isEmpty() {
        return broadcasts.isEmpty();
    }

    /**
     * Appends entries for one message, least often sent first, up to the maximum number of entries per message. Entries
     * about the receiver are skipped. Entries that have reached the transmit limit are discarded afterwards.
     */
    void drainTo(List<GossipEntry> entries, String receiver, int memberCount) {
        List<Broadcast> order = new ArrayList<>(broadcasts.values());
        order.sort(FEWEST_SENT_FIRST);
        for (Broadcast each : order) {
            if (entries.size() >= config.maxGossipEntries()) {
                break;
            }
            if (!each.entry().member().name().equals(receiver)) {
                entries.add(each.entry());
                each.countTransmission();
            }
        }
        int limit = transmitLimit(config, memberCount);
        broadcasts.values().removeIf(each -> each.transmissions() >= limit);
    }

    /** Returns how often each entry is sent in a fleet of the given size. */
    static int transmitLimit(SwimConfig config, int memberCount) {
        return (int) Math.ceil(config.retransmitFactor() * Math.log10(memberCount + 1.0));
    }
}
