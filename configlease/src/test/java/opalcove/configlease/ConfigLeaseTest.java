package opalcove.configlease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a gateway's lease, with times given by the test, and the log of versions. */
public class ConfigLeaseTest {
    private final List<String> requested = new ArrayList<>();
    private final List<String> changes = new ArrayList<>();
    private ConfigLease lease;

    @BeforeMethod
    public void startLease() {
        requested.clear();
        changes.clear();
        lease = new ConfigLease(0, List.of("a", "b"), 0, LeaseConfig.of(2000), new ConfigLease.Host() {
            @Override
            public void requestVersion(String voter, long sequence, long heldVersion) {
                requested.add(voter + sequence + " v" + heldVersion);
            }

            @Override
            public void leaseChanged(LeaseState before, LeaseState after, String text) {
                changes.add(after.mode() + " " + after.version() + " " + text);
            }
        });
    }

    /**
     * A lease runs from the time of the request, not from that of the response. If a voter does not respond in time,
     * the next voter gets a request. A lease that is not renewed becomes strict.
     */
    @Test
    public void countsLeaseFromRequestAndEntersStrictModeWhenNotRenewed() {
        lease.tick(0);
        assertEquals(requested, List.of("a1 v0"));
        lease.onResponse(240, 1, 7, "seven");
        assertEquals(lease.state(), new LeaseState(7, LeaseState.Mode.FULL, 2000));
        lease.onResponse(245, 9, 8, "an answer to no question of ours");
        lease.tick(500);
        lease.tick(750);
        assertEquals(requested, List.of("a1 v0", "a2 v7", "b3 v7"));
        lease.onResponse(760, 2, 7, null);
        assertEquals(lease.state().expiresAtMs(), 2500);
        lease.tick(2499);
        assertEquals(lease.state().mode(), LeaseState.Mode.FULL);
        lease.tick(2500);
        lease.onResponse(2600, 3, 6, "an older version");
        assertEquals(changes, List.of("FULL 7 seven", "STRICT 7 seven"));
        long requestCount = requested.size();
        lease.onVersionAnnounced(2700, 7);
        assertEquals(requested.size(), requestCount, "no request for a version that is already held");
        lease.onVersionAnnounced(2700, 8);
        lease.onResponse(4699, requestCount + 1, 8, "eight");
        assertEquals(changes.get(2), "FULL 8 eight");
        assertEquals(lease.state().expiresAtMs(), 4700);
    }

    /** Guards against an expired lease that skips strict mode when a response or an announcement precedes the tick. */
    @Test
    public void entersStrictModeBeforeRenewalWhenTickIsLate() {
        lease.tick(0);
        lease.onResponse(10, 1, 7, "seven");
        lease.tick(1900);
        lease.onResponse(2000, 2, 7, null);
        assertEquals(changes, List.of("FULL 7 seven", "STRICT 7 seven", "FULL 7 seven"));
        assertEquals(lease.state(), new LeaseState(7, LeaseState.Mode.FULL, 3900));
        lease.onVersionAnnounced(3900, 8);
        assertEquals(changes.get(3), "STRICT 7 seven");
        lease.onResponse(3950, 3, 8, "eight");
        assertEquals(changes.get(4), "FULL 8 eight");
        assertEquals(lease.counts().expired(), 2);
    }

    @Test
    public void grantsNoLeaseWhenResponseArrivesAfterLeaseEnd() {
        ConfigLease shortLease = new ConfigLease(0, List.of("a"), 0, LeaseConfig.of(200), new ConfigLease.Host() {
            @Override
            public void requestVersion(String voter, long sequence, long heldVersion) {}

            @Override
            public void leaseChanged(LeaseState before, LeaseState after, String text) {
                changes.add("late");
            }
        });
        assertFalse(shortLease.hasResponse());
        shortLease.tick(0);
        shortLease.onResponse(200, 1, 1, "one");
        assertTrue(shortLease.hasResponse());
        assertEquals(shortLease.state().mode(), LeaseState.Mode.NONE);
    }

    @Test
    public void decidesProposalsInOrderAndBoundsHistory() {
        VersionLog log = new VersionLog();
        assertEquals(log.decide(new VersionLog.Proposal("p", 0, "ops", "one")), new VersionLog.Outcome(true, 1, ""));
        assertEquals(log.decide(new VersionLog.Proposal("p", 0, "ops", "one")), new VersionLog.Outcome(true, 1, ""));
        assertEquals(
                log.decide(new VersionLog.Proposal("q", 0, "eve", "other")),
                new VersionLog.Outcome(false, 1, "it changes version 0, but version 1 by ops is in force"));
        for (int i = 1; i < 2 * VersionLog.MAX_HISTORY; i++) {
            assertTrue(log.decide(new VersionLog.Proposal("r" + i, i, "ops", "text " + i))
                    .accepted());
        }
        assertEquals(log.history().size(), VersionLog.MAX_HISTORY);
        assertEquals(log.newest().number(), 2 * VersionLog.MAX_HISTORY);
        assertEquals(log.history().get(0).text(), "", "only the newest version has its text");
    }
}
