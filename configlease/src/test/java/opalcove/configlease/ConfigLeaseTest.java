package opalcove.configlease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** One gateway's lease against a clock of the test's own. */
public class ConfigLeaseTest {
    private final List<String> asked = new ArrayList<>();
    private final List<String> stood = new ArrayList<>();
    private final ConfigLease lease =
            new ConfigLease(0, List.of("a", "b"), 0, LeaseConfig.of(2000), new ConfigLease.Host() {
                @Override
                public void ask(String voter, long number, long version) {
                    asked.add(voter + number + " v" + version);
                }

                @Override
                public void stands(LeaseState before, LeaseState after, String text) {
                    stood.add(after.mode() + " " + after.version() + " " + text);
                }
            });

    /** A lease runs from the question, not from its answer; without another answer it ends, and the next voter is asked. */
    @Test
    public void aLeaseRunsFromTheQuestionAndEndsAsStrict() {
        lease.tick(0);
        assertEquals(asked, List.of("a1 v0"));
        lease.told(240, 1, 7, "seven");
        assertEquals(lease.standing(), new LeaseState(7, LeaseState.Mode.FULL, 2000));
        lease.told(245, 9, 8, "an answer to no question of ours");
        lease.tick(500);
        lease.tick(750);
        assertEquals(asked, List.of("a1 v0", "a2 v7", "b3 v7"));
        lease.told(760, 2, 7, null);
        assertEquals(lease.standing().untilMs(), 2500);
        lease.tick(2499);
        assertEquals(lease.standing().mode(), LeaseState.Mode.FULL);
        lease.tick(2500);
        lease.told(2600, 3, 6, "an older version");
        assertEquals(stood, List.of("FULL 7 seven", "STRICT 7 seven"));
        long last = asked.size();
        lease.news(2700, 7);
        assertEquals(asked.size(), last, "no news");
        lease.news(2700, 8);
        lease.told(4699, last + 1, 8, "eight");
        assertEquals(stood.get(2), "FULL 8 eight");
        assertEquals(lease.standing().untilMs(), 4700);
    }

    @Test
    public void anAnswerThatComesAfterItsLeaseGivesNone() {
        ConfigLease late = new ConfigLease(0, List.of("a"), 0, LeaseConfig.of(200), new ConfigLease.Host() {
            @Override
            public void ask(String voter, long number, long version) {}

            @Override
            public void stands(LeaseState before, LeaseState after, String text) {
                stood.add("late");
            }
        });
        assertFalse(late.heard());
        late.tick(0);
        late.told(200, 1, 1, "one");
        assertTrue(late.heard());
        assertEquals(late.standing().mode(), LeaseState.Mode.NONE);
    }

    @Test
    public void proposalsInOrderBecomeVersionsOrAreRefused() {
        VersionLog registry = new VersionLog();
        assertEquals(
                registry.decide(new VersionLog.Proposal("p", 0, "ops", "one")), new VersionLog.Outcome(true, 1, ""));
        assertEquals(
                registry.decide(new VersionLog.Proposal("p", 0, "ops", "one")), new VersionLog.Outcome(true, 1, ""));
        assertEquals(
                registry.decide(new VersionLog.Proposal("q", 0, "eve", "other")),
                new VersionLog.Outcome(false, 1, "it changes version 0, but version 1 by ops is in force"));
        for (int i = 1; i < 2 * VersionLog.KEPT; i++) {
            assertTrue(registry.decide(new VersionLog.Proposal("r" + i, i, "ops", "text " + i))
                    .taken());
        }
        assertEquals(registry.history().size(), VersionLog.KEPT);
        assertEquals(registry.newest().number(), 2 * VersionLog.KEPT);
        assertEquals(registry.history().get(0).text(), "", "old texts are let go");
    }
}
