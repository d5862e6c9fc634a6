package opalcove.laboratory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import opalcove.laboratory.MembershipModel.Change;
import opalcove.laboratory.MembershipModel.Net;
import opalcove.membership.Member.State;
import opalcove.membership.SwimConfig;
import org.testng.annotations.Test;

/** Checks the membership protocol under faults in virtual time, with fixed seeds, so that each run has the same result. */
public class MembershipModelTest {
    private static final int MEMBERS = 24;

    private static String name(int i) {
        return String.format("g%04d", i);
    }

    private static List<String> names(int members) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            names.add(name(i));
        }
        return names;
    }

    /** Starts a fleet and runs it until each member considers all others present. */
    private static MembershipModel startFleet(long seed, int members) {
        MembershipModel model = new MembershipModel(seed, SwimConfig.of(500), List.of(name(0), name(1)));
        names(members).forEach(model::start);
        model.run(15_000);
        names(members).forEach(name -> assertEquals(model.presentMembers(name).size(), members, name));
        return model;
    }

    private static List<Change> changesSince(MembershipModel model, long from, State state) {
        return model.history().stream()
                .filter(each -> each.at() >= from && each.after().state() == state)
                .toList();
    }

    @Test
    public void reportsCrashToAllMembersWithinThreeSecondsAtP99() {
        List<Long> detectionsMs = new ArrayList<>();
        for (long seed = 1; seed <= 20; seed++) {
            MembershipModel model = startFleet(seed, MEMBERS);
            long from = model.now();
            model.kill(name(7));
            model.run(8_000);
            List<Change> deaths = changesSince(model, from, State.DEAD);
            assertEquals(deaths.size(), MEMBERS - 1, "each other member reports the death exactly once");
            deaths.forEach(each -> detectionsMs.add(each.at() - from));
        }
        detectionsMs.sort(null);
        assertTrue(
                detectionsMs.get(detectionsMs.size() * 99 / 100) <= 3000,
                "p99 " + detectionsMs.get(detectionsMs.size() * 99 / 100));
    }

    @Test
    public void refutesDeathOnceWithHigherIncarnationAfterLongPauseButReportsNoneAfterShortPause() {
        for (long seed = 1; seed <= 10; seed++) {
            MembershipModel model = startFleet(seed, MEMBERS);
            long from = model.now();
            model.pause(name(3), 1500);
            model.run(8_000);
            assertEquals(changesSince(model, from, State.DEAD), List.of());
            from = model.now();
            model.pause(name(5), 5000);
            model.run(15_000);
            List<Change> deaths = changesSince(model, from, State.DEAD);
            assertEquals(deaths.size(), MEMBERS - 1, "seed " + seed);
            assertTrue(deaths.stream().allMatch(each -> each.after().name().equals(name(5))));
            Map<String, Integer> revivals = new HashMap<>();
            changesSince(model, from, State.ALIVE).stream()
                    .filter(each -> each.before().state() == State.DEAD)
                    .forEach(each -> {
                        revivals.merge(each.observer(), 1, Integer::sum);
                        assertTrue(each.after().incarnation() > each.before().incarnation());
                    });
            assertEquals(revivals.size(), MEMBERS - 1);
            assertTrue(revivals.values().stream().allMatch(times -> times == 1));
        }
    }

    @Test
    public void reportsNoDeathWhenOneInTenMessagesIsLost() {
        for (long seed = 1; seed <= 5; seed++) {
            MembershipModel model = startFleet(seed, MEMBERS);
            long from = model.now();
            model.net(new Net(0.1, 0.02, 0, 40));
            model.run(120_000);
            assertEquals(changesSince(model, from, State.DEAD), List.of());
        }
    }

    @Test
    public void reportsNoDeathWhenOneDirectionBetweenTwoMembersIsCut() {
        MembershipModel model = startFleet(4, MEMBERS);
        long from = model.now();
        model.cut(name(2), name(3));
        model.run(60_000);
        assertEquals(changesSince(model, from, State.DEAD), List.of());
    }

    @Test
    public void reportsNoDeathOfOtherMembersWhenOneMemberHasSlowNetwork() {
        for (long seed = 1; seed <= 5; seed++) {
            MembershipModel model = startFleet(seed, MEMBERS);
            long from = model.now();
            model.net(name(6), new Net(0.2, 0, 300, 900));
            model.run(60_000);
            assertEquals(
                    changesSince(model, from, State.DEAD).stream()
                            .filter(each -> !each.after().name().equals(name(6)))
                            .toList(),
                    List.of());
            assertTrue(
                    model.detector(name(6)).healthScore() > 0,
                    "the slow member's own health score shows that it is slow");
        }
    }

    @Test
    public void findsAllMembersAgainAfterPartitionIntoHalvesHeals() {
        for (long seed = 1; seed <= 5; seed++) {
            MembershipModel model = startFleet(seed, MEMBERS);
            for (int a = 0; a < MEMBERS / 2; a++) {
                for (int b = MEMBERS / 2; b < MEMBERS; b++) {
                    model.cut(name(a), name(b));
                    model.cut(name(b), name(a));
                }
            }
            model.run(10_000);
            assertEquals(model.presentMembers(name(0)).size(), MEMBERS / 2);
            model.heal();
            model.run(5_000);
            names(MEMBERS)
                    .forEach(name -> assertEquals(model.presentMembers(name).size(), MEMBERS, name));
        }
    }

    @Test
    public void reportsLeaveToAllMembersWithinOneSecondAndReadmitsMemberAfterRestart() {
        for (long seed = 1; seed <= 10; seed++) {
            MembershipModel model = startFleet(seed, MEMBERS);
            long from = model.now();
            model.leave(name(9));
            model.run(1_000);
            assertEquals(changesSince(model, from, State.LEFT).size(), MEMBERS - 1, "seed " + seed);
            assertEquals(changesSince(model, from, State.DEAD), List.of());
            model.start(name(9));
            model.run(5_000);
            names(MEMBERS)
                    .forEach(name -> assertEquals(model.presentMembers(name).size(), MEMBERS, name));
        }
    }

    @Test
    public void sendsAboutAsManyMessagesPerMemberInLargerFleet() {
        double[] perMember = new double[2];
        int[] sizes = {24, 200};
        for (int i = 0; i < sizes.length; i++) {
            MembershipModel model = startFleet(1, sizes[i]);
            model.run(60_000);
            long before = model.messages();
            model.run(20_000);
            perMember[i] = (model.messages() - before) / 20.0 / sizes[i];
        }
        assertTrue(
                perMember[1] < 1.15 * perMember[0],
                perMember[0] + " and " + perMember[1] + " messages per member and second");
    }
}
