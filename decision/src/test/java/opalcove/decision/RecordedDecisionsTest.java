package opalcove.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Compares the actions of the module with those that were recorded before it was split into several classes. The same
 * events must result in the same actions.
 */
class RecordedDecisionsTest {
    private static void assertRecordedActions(SeededTraffic.Scenario scenario, String... recorded) {
        assertEquals(
                List.of(recorded).stream().collect(Collectors.joining("\n")),
                LongStream.rangeClosed(1, recorded.length)
                        .mapToObj(seed -> SeededTraffic.run(scenario, seed))
                        .collect(Collectors.joining("\n")));
    }

    @Test
    void repeatsRecordedActionsWithoutMeter() {
        assertRecordedActions(
                new SeededTraffic.Scenario("plain", 2, 0, false, false, false, false, false, 0.2),
                "plain 1 {fail=18, forget=884, log=16, refuse=304, room=226, send=338, wake=1380} ab5ebc998a72bb2552fb18f6",
                "plain 2 {fail=14, forget=917, log=8, refuse=291, room=260, send=359, wake=1435} 71bc9fff32cf3588ad4d06cc",
                "plain 3 {fail=12, forget=936, log=12, refuse=273, room=236, send=385, wake=1437} 4091e36b1cc00806a477de1f");
    }

    @Test
    void repeatsRecordedActionsWithMeter() {
        assertRecordedActions(
                new SeededTraffic.Scenario("metered", 5, 1000, false, false, true, false, false, 0.2),
                "metered 1 {cancel=2, fail=11, forget=799, log=20, refuse=391, room=234, send=233, wake=1308} d66829e2205cf1d024e61da4",
                "metered 2 {cancel=1, fail=11, forget=780, log=17, refuse=414, room=214, send=216, wake=1298} 39127dc652c1f767cf8e499b",
                "metered 3 {cancel=4, fail=14, forget=858, log=13, refuse=336, room=278, send=296, wake=1371} 0ffa5c060881deb09b997da1");
    }

    @Test
    void repeatsRecordedActionsWhenOutcomesReportTrueUnits() {
        assertRecordedActions(
                new SeededTraffic.Scenario("estimates", 3, 2000, true, false, true, false, false, 0.2),
                "estimates 1 {cancel=5, fail=12, forget=870, log=18, refuse=334, room=245, send=318, wake=1355} 6c4308109d62e0e87b5a5be5",
                "estimates 2 {cancel=8, fail=14, forget=901, log=14, refuse=314, room=258, send=338, wake=1391} ad9e7734608a36acfd1fd52f",
                "estimates 3 {cancel=3, fail=8, forget=834, log=14, refuse=368, room=234, send=278, wake=1332} 86b0845febf57fea89347334");
    }

    @Test
    void repeatsRecordedActionsWhenHedgingIsAllowed() {
        assertRecordedActions(
                new SeededTraffic.Scenario("hedging", 2, 1000, false, true, true, false, false, 0.2),
                "hedging 1 {cancel=2, fail=12, forget=893, log=13, refuse=306, room=210, send=333, wake=1390} 85e44e825784cf0c0d79bbb8",
                "hedging 2 {cancel=5, fail=13, forget=892, log=14, refuse=315, room=206, send=342, wake=1417} cb4d6e6854ca92cb2b8e65e2",
                "hedging 3 {cancel=4, fail=15, forget=832, log=15, refuse=374, room=232, send=265, wake=1351} 0d43a04fe1b98173115dc746");
    }

    @Test
    void repeatsRecordedActionsWhenHealthChecksAreAllowed() {
        assertRecordedActions(
                new SeededTraffic.Scenario("health-checks", 1, 0, false, true, true, true, false, 0.2),
                "health-checks 1 {cancel=6, fail=18, forget=956, log=16, probe=7, refuse=234, room=216, send=441, wake=1472} e6423fb989173a894eb6fffd",
                "health-checks 2 {cancel=4, fail=26, forget=931, log=18, probe=1, refuse=281, room=243, send=409, wake=1439} 25e23453f841ff5c27800096",
                "health-checks 3 {cancel=11, fail=11, forget=969, log=17, probe=2, refuse=218, room=235, send=464, wake=1510} 2cf6867cb36a2b4059740ecc");
    }

    @Test
    void repeatsRecordedActionsWhenEndpointListIsPolled() {
        assertRecordedActions(
                new SeededTraffic.Scenario("polled", 4, 1000, false, false, true, false, true, 0.2),
                "polled 1 {cancel=6, fail=13, follow=8, forget=817, log=16, refuse=379, room=238, send=255, wake=1336} 556b23cd213ece6e40410b8c",
                "polled 2 {fail=14, follow=5, forget=823, log=18, refuse=379, room=242, send=258, wake=1332} ecbbd0c0bf9bf53e80ab3bef",
                "polled 3 {cancel=4, fail=15, follow=3, forget=825, log=17, refuse=366, room=252, send=267, wake=1374} aea62638c737614fae905118");
    }

    @Test
    void repeatsRecordedActionsWhenSlowStartBeginsNearZero() {
        assertRecordedActions(
                new SeededTraffic.Scenario("slow-start", 14, 500, true, true, true, true, true, 0.02),
                "slow-start 1 {cancel=3, fail=11, follow=7, forget=750, log=20, refuse=433, room=237, send=190, wake=1244} 4d5f79d6c5670efd44751efe",
                "slow-start 2 {fail=10, follow=9, forget=710, log=14, probe=1, refuse=483, room=244, send=134, wake=1230} d43f1c0336046c2f49e3cf9a",
                "slow-start 3 {cancel=3, fail=13, follow=8, forget=774, log=13, probe=3, refuse=432, room=216, send=194, wake=1297} 341c716be4e5290efdc95413");
    }
}
