package opalcove.laboratory.soak;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import opalcove.laboratory.soak.History.Attempt;
import opalcove.laboratory.soak.History.Change;
import opalcove.laboratory.soak.History.End;
import opalcove.laboratory.soak.History.Request;
import opalcove.laboratory.soak.History.Stall;
import org.testng.annotations.Test;

/** Checks each rule with a history that keeps it and one that barely breaks it. */
public class OracleTest {
    private static final double CAPACITY_PER_S = 10;
    private static final double END_MS = 20_000;
    private static final List<SoakBackendLocation> LOCATIONS = List.of(
            new SoakBackendLocation("room-a", 0),
            new SoakBackendLocation("room-a", 1),
            new SoakBackendLocation("room-b", 2));

    private final SoakPlan plan =
            new SoakPlan(1, 1, 3, 12_000, 10, new SoakPlan.Setup(true, 1000, 2, false, true, "zone", 3000), List.of());
    private int requests;

    private Set<SoakRule> brokenRules(History history) {
        Set<SoakRule> rules = new TreeSet<>();
        new Oracle(plan, history, LOCATIONS, CAPACITY_PER_S, END_MS)
                .check()
                .forEach(violation -> rules.add(violation.rule()));
        return rules;
    }

    private Request request(History history, SoakClass requestClass, double sentAt) {
        String id = String.format("%016x", ++requests);
        Request request = new Request(id, requestClass, "tenant", Traffic.WIDE_PLAN, 0, 1, 1000);
        request.sentAt = sentAt;
        history.requests.put(id, request);
        return request;
    }

    private static Attempt attempt(History history, Request request, int backend, double at, int deadlineMs) {
        Attempt attempt = new Attempt(request, 0, backend, at, at, deadlineMs);
        request.attempts.add(attempt);
        history.attempts.add(attempt);
        return attempt;
    }

    private static Request served(Request request, double at) {
        request.response = request.id + " backend-0 ";
        request.ended(End.SERVED, at);
        return request;
    }

    /** Returns a request sent at 1000 ms with a deadline of 1000 ms, and one attempt that ends at 1050 ms. */
    private Request ordinary(History history, SoakClass requestClass) {
        Request request = request(history, requestClass, 1000);
        attempt(history, request, 0, 1010, 990).endedAt = 1050;
        return request;
    }

    @Test
    public void findsNoViolationForOrdinaryRequest() {
        History history = new History();
        served(ordinary(history, SoakClass.PAYMENT), 1051);
        assertEquals(brokenRules(history), Set.of());
    }

    @Test
    public void reportsResponseThatIsMissingOrMoreThanHalfASecondLate() {
        History late = new History();
        served(ordinary(late, SoakClass.LOOKUP), 2490);
        assertEquals(brokenRules(late), Set.of());
        History later = new History();
        served(ordinary(later, SoakClass.LOOKUP), 2530);
        assertEquals(brokenRules(later), Set.of(SoakRule.ANSWERED));
        History missing = new History();
        ordinary(missing, SoakClass.LOOKUP);
        assertEquals(brokenRules(missing), Set.of(SoakRule.ANSWERED));
    }

    @Test
    public void ignoresTimeSpentWaitingForPreviousResponse() {
        History history = new History();
        Request request = served(ordinary(history, SoakClass.LOOKUP), 5000);
        request.previousResponseAt = 4900;
        assertEquals(brokenRules(history), Set.of());
    }

    @Test
    public void reportsConnectionClosedAfterRequestWasRead() {
        History crossing = new History();
        request(crossing, SoakClass.LOOKUP, 1000).ended(End.CLOSED, 1010);
        assertEquals(brokenRules(crossing), Set.of());
        History read = new History();
        request(read, SoakClass.LOOKUP, 1000).ended(End.CLOSED, 1200);
        assertEquals(brokenRules(read), Set.of(SoakRule.NOT_CLOSED_UNANSWERED));
        History sent = new History();
        ordinary(sent, SoakClass.LOOKUP).ended(End.CLOSED, 1011);
        assertEquals(brokenRules(sent), Set.of(SoakRule.NOT_CLOSED_UNANSWERED));
    }

    @Test
    public void reportsValueOfAnotherRequest() {
        History history = new History();
        Request request = ordinary(history, SoakClass.LOOKUP);
        request.response = "ffffffffffffffff backend-0 ";
        request.ended(End.SERVED, 1051);
        assertEquals(brokenRules(history), Set.of(SoakRule.OWN_VALUE));
    }

    @Test
    public void reportsAttemptAfterClientDisconnectedOrGotResponse() {
        History disconnected = new History();
        ordinary(disconnected, SoakClass.LOOKUP).ended(End.LEFT, 800);
        assertEquals(brokenRules(disconnected), Set.of(SoakRule.NOT_FOR_CLIENTS_THAT_LEFT));
        History responded = new History();
        Request request = served(ordinary(responded, SoakClass.LOOKUP), 1051);
        attempt(responded, request, 1, 1400, 600).endedAt = 1401;
        assertEquals(brokenRules(responded), Set.of(SoakRule.NOT_AFTER_THE_ANSWER));
    }

    @Test
    public void reportsForwardedDeadlineLongerThanRemainingTime() {
        History history = new History();
        Request request = request(history, SoakClass.LOOKUP, 1000);
        attempt(history, request, 0, 1300, 990).endedAt = 1310;
        served(request, 1311);
        assertEquals(brokenRules(history), Set.of(SoakRule.DEADLINE_PASSED_ON));
    }

    @Test
    public void reportsAttemptAfterGracePeriodOfDrain() {
        History history = new History();
        Change drain = new Change(0, false, 0, 1);
        history.changes.add(drain);
        served(ordinary(history, SoakClass.LOOKUP), 1051);
        assertEquals(brokenRules(history), Set.of(), "gateway not notified");
        drain.notifiedAt[0] = 0;
        assertEquals(brokenRules(history), Set.of(), "within the grace period");
        drain.notifiedAt[0] = -200;
        assertEquals(brokenRules(history), Set.of(), "times below 0 mean not notified");
        History late = new History();
        Change early = new Change(0, false, 0, 1);
        early.notifiedAt[0] = 0;
        late.changes.add(early);
        Request request = request(late, SoakClass.LOOKUP, 1100);
        attempt(late, request, 0, 1110, 900).endedAt = 1120;
        served(request, 1121);
        assertEquals(brokenRules(late), Set.of(SoakRule.DRAIN));
    }

    @Test
    public void reportsRepeatThatRequestClassForbids() {
        assertEquals(repeated(SoakClass.LOOKUP, 2, false), Set.of());
        assertEquals(repeated(SoakClass.PAYMENT, 1, false), Set.of(SoakRule.REPEAT));
        assertEquals(repeated(SoakClass.PAYMENT, 1, true), Set.of(), "rejected by the backend, so it never ran");
        assertEquals(repeated(SoakClass.ORDER, 1, false), Set.of(), "in the zone of the first attempt");
        assertEquals(repeated(SoakClass.ORDER, 2, false), Set.of(SoakRule.REPEAT));
    }

    private Set<SoakRule> repeated(SoakClass requestClass, int backend, boolean rejected) {
        History history = new History();
        Request request = ordinary(history, requestClass);
        request.attempts.get(0).rejected = rejected;
        attempt(history, request, backend, 1100, 890).endedAt = 1200;
        served(request, 1201);
        return brokenRules(history);
    }

    @Test
    public void reportsHedgedRequestAndAttemptsBeyondSettings() {
        History copies = new History();
        Request request = ordinary(copies, SoakClass.LOOKUP);
        request.attempts.get(0).endedAt = 1500;
        attempt(copies, request, 1, 1100, 890).endedAt = 1500;
        served(request, 1501);
        assertEquals(brokenRules(copies), Set.of(SoakRule.SECOND_COPY));
        History many = new History();
        Request attemptedOften = ordinary(many, SoakClass.LOOKUP);
        for (int i = 0; i < 3; i++) {
            attempt(many, attemptedOften, 1, 1100 + 20 * i, 880).endedAt = 1105 + 20 * i;
        }
        served(attemptedOften, 1200);
        assertEquals(brokenRules(many), Set.of(SoakRule.ATTEMPTS));
    }

    @Test
    public void reportsRejectionOfUnsafeRequestThatMayHaveRun() {
        History history = new History();
        ordinary(history, SoakClass.PAYMENT).ended(End.REFUSED, 1051);
        assertEquals(brokenRules(history), Set.of(SoakRule.REFUSAL));
        History safe = new History();
        ordinary(safe, SoakClass.LOOKUP).ended(End.REFUSED, 1051);
        assertEquals(brokenRules(safe), Set.of());
    }

    @Test
    public void reportsMoreRequestsThanSlowStartAllows() {
        assertEquals(sentToNewlyStarted(10), Set.of());
        assertEquals(sentToNewlyStarted(60), Set.of(SoakRule.SLOW_START));
    }

    private Set<SoakRule> sentToNewlyStarted(int count) {
        History history = new History();
        Change start = new Change(0, true, 1000, 1);
        start.notifiedAt[0] = 1000;
        history.changes.add(start);
        history.starts.put(0, new ArrayList<>(List.of(1000.0)));
        for (int i = 0; i < count; i++) {
            Request request = request(history, SoakClass.LOOKUP, 1100 + i);
            attempt(history, request, 0, 1100 + i, 900).endedAt = 1105 + i;
            served(request, 1106 + i);
        }
        return brokenRules(history);
    }

    @Test
    public void reportsMoreRequestsThanTenantCeilingAllows() {
        History history = new History();
        for (int i = 0; i < 30; i++) {
            Request request = new Request(
                    String.format("%016x", i), SoakClass.LOOKUP, "tenant", Traffic.CEILING_PLAN, 0, 1, 1000);
            request.sentAt = 1000 + i;
            history.requests.put(request.id, request);
            attempt(history, request, 0, 1001 + i, 900).endedAt = 1002 + i;
            served(request, 1003 + i);
        }
        assertEquals(brokenRules(history), Set.of(SoakRule.CEILING));
    }

    @Test
    public void reportsStalledClientThatIsNotClosedInTime() {
        History openTooLong = new History();
        Stall stall = new Stall(0, 1000, null);
        stall.endedAt = 4500;
        openTooLong.stalls.add(stall);
        assertEquals(brokenRules(openTooLong), Set.of(SoakRule.STALLED_CLIENT));
        History afterEarlierRequest = new History();
        Request before = request(afterEarlierRequest, SoakClass.LOOKUP, 4000);
        Stall stallAfterRequest = new Stall(0, 1000, before);
        served(before, 4480);
        stallAfterRequest.endedAt = 4490;
        afterEarlierRequest.stalls.add(stallAfterRequest);
        assertEquals(brokenRules(afterEarlierRequest), Set.of(), "closed with the response to the earlier request");
    }

    /** Guards against an oracle that accepts every kill as an excuse for a missing response. */
    @Test
    public void excusesOnlyLateRequestsWhenKillFollowsSigterm() {
        assertEquals(killed(1000, -1), Set.of(), "no SIGTERM");
        assertEquals(killed(1000, 900), Set.of(SoakRule.ANSWERED));
        assertEquals(killed(1540, 900), Set.of(SoakRule.ANSWERED), "within the notice");
        assertEquals(killed(1610, 900), Set.of(), "late after SIGTERM");
    }

    private Set<SoakRule> killed(double sentAt, double terminationSentAt) {
        History history = new History();
        Request request = request(history, SoakClass.LOOKUP, sentAt);
        request.terminationSentAt = terminationSentAt;
        request.ended(End.KILLED, 4100);
        return brokenRules(history);
    }
}
