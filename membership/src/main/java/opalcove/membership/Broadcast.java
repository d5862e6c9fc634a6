package opalcove.membership;

/** A queued gossip entry and the number of times it has been sent. Owned by its {@link GossipQueue}. */
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
