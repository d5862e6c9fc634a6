package opalcove.recovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import opalcove.recovery.Recovery.Phase;
import org.testng.annotations.Test;

/** The way back after a start, against the test's own clock. */
public class RecoveryTest {
    private static final long START = 1_000_000;
    private static final RecoveryConfig FIGURES = RecoveryConfig.of(2000);
    private static final Snapshot BEFORE = new Snapshot(
            "g1",
            START - 5000,
            1,
            false,
            4,
            "text",
            List.of(new Snapshot.Peer("g2", "a", 2), new Snapshot.Peer("g3", "b", 3)));

    @Test
    public void afterAPowerLossBurstsAreHeldAndAllNodesAreCold() {
        Recovery recovery = new Recovery(START, BEFORE, "", FIGURES);
        RecoveryPlan waiting = recovery.plan(START + 100, -1, Map.of());
        assertFalse(waiting.isReady());
        assertEquals(waiting.pending().size(), 2);
        assertFalse(recovery.plan(START + 500, 4, Map.of()).isReady(), "members are waited for");
        RecoveryPlan plan = recovery.plan(START + 600, 4, Map.of("g2", START + 200));
        assertEquals(plan.phase(), Phase.RESTORING);
        assertTrue(plan.isReady() && plan.areQuotasHeld() && plan.areBackendsWarmingUp());
        assertTrue(plan.trusted().contains("the snapshot's version 4, which the voters confirm"), plan.toString());
        assertEquals(recovery.nextChangeMs(), START + 600 + 4000);
        RecoveryPlan full = recovery.plan(START + 4600, 4, Map.of("g2", START + 200));
        assertEquals(full.phase(), Phase.FULL);
        assertFalse(full.areQuotasHeld());
        assertTrue(full.areBackendsWarmingUp(), "their ramp goes on from the start");
    }

    @Test
    public void aRestartAloneHoldsNothing() {
        Recovery recovery = new Recovery(START, BEFORE, "", FIGURES);
        RecoveryPlan plan = recovery.plan(START + 300, 5, Map.of("g2", 2L, "g3", 3L));
        assertEquals(plan.phase(), Phase.FULL);
        assertFalse(plan.areQuotasHeld() || plan.areBackendsWarmingUp());
        assertEquals(plan.refused(), List.of("the snapshot's version 4 of 5300 ms ago: version 5 is in force"));
    }

    @Test
    public void whoIsNotBackInTimeCountsAsLost() {
        Recovery recovery = new Recovery(START, BEFORE, "", FIGURES);
        recovery.plan(START + 1499, 4, Map.of());
        assertEquals(recovery.phase(), Phase.WAITING);
        assertEquals(recovery.plan(START + 1500, 4, Map.of()).phase(), Phase.RESTORING);
    }

    @Test
    public void withoutASnapshotOnlyOneThatRunsForLongShowsThatTheFleetDoes() {
        Recovery recovery = new Recovery(START, null, "there is none", FIGURES);
        assertEquals(recovery.plan(START + 400, 4, Map.of("g2", START - 100)).phase(), Phase.WAITING);
        RecoveryPlan plan = recovery.plan(START + 1500, 4, Map.of("g2", START - 100));
        assertEquals(plan.phase(), Phase.RESTORING);
        assertEquals(plan.refused(), List.of("the snapshot: there is none"));
        assertEquals(
                new Recovery(START, null, "", FIGURES)
                        .plan(START + 400, 4, Map.of("g2", 2L))
                        .phase(),
                Phase.FULL);
    }

    @Test
    public void withoutTheVotersTheSnapshotIsActedOnAndTheirWordEndsIt() {
        Recovery recovery = new Recovery(START, BEFORE, "", FIGURES);
        assertFalse(recovery.plan(START + 9999, -1, Map.of("g2", 2L, "g3", 3L)).isReady());
        RecoveryPlan alone = recovery.plan(START + 10_000, -1, Map.of());
        assertEquals(alone.phase(), Phase.ALONE);
        assertTrue(alone.usesSnapshot() && alone.areQuotasHeld() && alone.areBackendsWarmingUp());
        RecoveryPlan back = recovery.plan(START + 11_000, 6, Map.of());
        assertEquals(back.phase(), Phase.RESTORING);
        assertFalse(back.usesSnapshot());
        assertEquals(recovery.plan(START + 14_000, 6, Map.of()).phase(), Phase.FULL);
    }
}
