package opalcove.recovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import opalcove.recovery.Recovery.Phase;
import org.testng.annotations.Test;

/** Tests the phases of the recovery after a start, with times passed in by the test. */
public class RecoveryTest {
    private static final long START_MS = 1_000_000;
    private static final RecoveryConfig CONFIG = RecoveryConfig.of(2000);
    private static final Snapshot SNAPSHOT = new Snapshot(
            "g1",
            START_MS - 5000,
            1,
            false,
            4,
            "text",
            List.of(new Snapshot.Peer("g2", "a", 2), new Snapshot.Peer("g3", "b", 3)));

    @Test
    public void restrictsBurstsAndWarmsUpAllBackendsAfterPowerLossOfFleet() {
        Recovery recovery = new Recovery(START_MS, SNAPSHOT, "", CONFIG);
        RecoveryPlan waiting = recovery.plan(START_MS + 100, -1, Map.of());
        assertFalse(waiting.isReady());
        assertEquals(waiting.pending().size(), 2);
        assertFalse(recovery.plan(START_MS + 500, 4, Map.of()).isReady(), "the gateway waits for the members");
        RecoveryPlan plan = recovery.plan(START_MS + 600, 4, Map.of("g2", START_MS + 200));
        assertEquals(plan.phase(), Phase.RESTORING);
        assertTrue(plan.isReady() && plan.areBurstsRestricted() && plan.areBackendsWarmingUp());
        assertTrue(plan.trusted().contains("the snapshot's version 4, which the voters confirm"), plan.toString());
        assertEquals(recovery.nextChangeMs(), START_MS + 600 + 4000);
        RecoveryPlan full = recovery.plan(START_MS + 4600, 4, Map.of("g2", START_MS + 200));
        assertEquals(full.phase(), Phase.FULL);
        assertFalse(full.areBurstsRestricted());
        assertTrue(full.areBackendsWarmingUp(), "the backends' warm-up continues in phase FULL");
    }

    @Test
    public void appliesNoRestrictionWhenOnlyThisGatewayRestarted() {
        Recovery recovery = new Recovery(START_MS, SNAPSHOT, "", CONFIG);
        RecoveryPlan plan = recovery.plan(START_MS + 300, 5, Map.of("g2", 2L, "g3", 3L));
        assertEquals(plan.phase(), Phase.FULL);
        assertFalse(plan.areBurstsRestricted() || plan.areBackendsWarmingUp());
        assertEquals(plan.refused(), List.of("the snapshot's version 4 of 5300 ms ago: version 5 is in force"));
    }

    @Test
    public void countsMemberThatIsNotPresentInTimeAsStoppedByPowerLoss() {
        Recovery recovery = new Recovery(START_MS, SNAPSHOT, "", CONFIG);
        recovery.plan(START_MS + 1499, 4, Map.of());
        assertEquals(recovery.phase(), Phase.WAITING);
        assertEquals(recovery.plan(START_MS + 1500, 4, Map.of()).phase(), Phase.RESTORING);
    }

    @Test
    public void detectsRunningFleetOnlyByMemberOlderThanOutageWithoutSnapshot() {
        Recovery recovery = new Recovery(START_MS, null, "there is none", CONFIG);
        assertEquals(
                recovery.plan(START_MS + 400, 4, Map.of("g2", START_MS - 100)).phase(), Phase.WAITING);
        RecoveryPlan plan = recovery.plan(START_MS + 1500, 4, Map.of("g2", START_MS - 100));
        assertEquals(plan.phase(), Phase.RESTORING);
        assertEquals(plan.refused(), List.of("the snapshot: there is none"));
        assertEquals(
                new Recovery(START_MS, null, "", CONFIG)
                        .plan(START_MS + 400, 4, Map.of("g2", 2L))
                        .phase(),
                Phase.FULL);
    }

    @Test
    public void usesSnapshotUntilVotersRespondAfterVotersTimeout() {
        Recovery recovery = new Recovery(START_MS, SNAPSHOT, "", CONFIG);
        assertFalse(
                recovery.plan(START_MS + 9999, -1, Map.of("g2", 2L, "g3", 3L)).isReady());
        RecoveryPlan alone = recovery.plan(START_MS + 10_000, -1, Map.of());
        assertEquals(alone.phase(), Phase.ALONE);
        assertTrue(alone.usesSnapshot() && alone.areBurstsRestricted() && alone.areBackendsWarmingUp());
        RecoveryPlan restoring = recovery.plan(START_MS + 11_000, 6, Map.of());
        assertEquals(restoring.phase(), Phase.RESTORING);
        assertFalse(restoring.usesSnapshot());
        assertEquals(recovery.plan(START_MS + 14_000, 6, Map.of()).phase(), Phase.FULL);
    }
}
