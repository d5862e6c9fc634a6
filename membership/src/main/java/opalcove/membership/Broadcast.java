package opalcove.membership;

/** A gossip entry in the queue, and how often it has been sent. Owned by its {@link GossipQueue}. */
final class Broadcast {
    private final GossipEntry entry;
    private int transmissions;

    Broadcast(GossipEntry entry) {
        this.entry = entry;
    }

    GossipEntry entry() {
        return entry;
    }

    int transmissions() {
        return transmissions;
    }

    void countTransmission() {
        transmissions++;
    }
}
