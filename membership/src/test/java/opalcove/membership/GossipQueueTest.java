package opalcove.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which gossip entries a message carries and how often each is sent. */
public class GossipQueueTest {
    private static final SwimConfig CONFIG = SwimConfig.of(500);

    private GossipQueue queue;

    @BeforeMethod
    public void createQueue() {
        queue = new GossipQueue(CONFIG);
    }

    private static GossipEntry entry(String name) {
        return GossipEntry.of(new Member(name, name, 1, Member.State.ALIVE));
    }

    private List<String> drainNames(String receiver, int memberCount) {
        List<GossipEntry> entries = new ArrayList<>();
        queue.drainTo(entries, receiver, memberCount);
        return entries.stream().map(each -> each.member().name()).toList();
    }

    @Test
    public void sendsEntriesWithFewestTransmissionsFirstAndNoneAboutReceiver() {
        queue.enqueue(entry("b"));
        queue.enqueue(entry("a"));
        assertEquals(drainNames("b", 100), List.of("a"));
        assertEquals(drainNames("c", 100), List.of("b", "a"));
    }

    @Test
    public void restartsTransmissionsForNewerEntryAndDiscardsEntryAtTransmitLimit() {
        int limit = GossipQueue.transmitLimit(CONFIG, 9);
        assertEquals(limit, 6, "6 transmissions per power of ten of the fleet size");
        queue.enqueue(entry("a"));
        drainNames("c", 9);
        queue.enqueue(entry("a"));
        for (int sent = 0; sent < limit; sent++) {
            assertEquals(drainNames("c", 9), List.of("a"));
        }
        assertTrue(queue.isEmpty());
    }

    @Test
    public void limitsEntriesPerMessageAndDiscardsOnlyEntriesAboutGivenMember() {
        for (int i = 0; i < 20; i++) {
            queue.enqueue(entry(String.format("m%02d", i)));
        }
        assertEquals(drainNames("c", 100).size(), CONFIG.maxGossipEntries());
        queue.discardAbout("m19");
        assertEquals(drainNames("c", 100).get(0), "m12", "entries that were not sent yet come first");
    }
}
