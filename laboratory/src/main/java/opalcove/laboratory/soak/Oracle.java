package opalcove.laboratory.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import opalcove.laboratory.soak.History.Attempt;
import opalcove.laboratory.soak.History.Change;
import opalcove.laboratory.soak.History.End;
import opalcove.laboratory.soak.History.Request;
import opalcove.laboratory.soak.History.Stall;

/** Checks the rules against a history, without using anything that a gateway reports about itself. */
final class Oracle {
    /** Slack that is added to time limits for the transfer over sockets, ms. */
    private static final double SOCKET_SLACK_MS = 50;
    /** How late recorded times may be while the recording thread is not stalled, ms. */
    private static final double RECORDING_DELAY_MS = 15;

    private static final double LOST_AFTER_MS = 500;
    private static final double DISCONNECT_SLACK_MS = 100;
    private static final double DEADLINE_SLACK_MS = 150;
    private static final double STALL_MS = 3000;
    /**
     * A request that was written longer than this before its connection was closed counts as read by the gateway, ms.
     */
    private static final double CROSSING_MS = 50;
    /** Two ends that were recorded within this time of each other may have happened in the other order, ms. */
    private static final double ORDER_MS = 10;

    private static final double MIN_NOTIFIED_SHARE = 2.0 / 3;

    private final SoakPlan plan;
    private final History history;
    private final List<SoakBackendLocation> locations;
    private final double capacityPerS;
    private final double endAt;
    private final List<SoakViolation> violations = new ArrayList<>();

    Oracle(SoakPlan plan, History history, List<SoakBackendLocation> locations, double capacityPerS, double endAt) {
        this.plan = plan;
        this.history = history;
        this.locations = locations;
        this.capacityPerS = capacityPerS;
        this.endAt = endAt;
    }

    /** Returns the violations in the order of time. */
    List<SoakViolation> check() {
        for (Request request : history.requests.values()) {
            checkEnd(request);
            checkAttempts(request);
        }
        checkDrains();
        checkSlowStarts();
        checkCeilings();
        history.stalls.forEach(this::checkStall);
        violations.addAll(history.processViolations);
        violations.sort(Comparator.comparingDouble(SoakViolation::atMs));
        return violations;
    }

    private void addViolation(SoakRule rule, int gateway, double at, String format, Object... values) {
        violations.add(new SoakViolation(rule, gateway, at, String.format(Locale.ROOT, format, values)));
    }

    private double tolerance(double at) {
        return RECORDING_DELAY_MS + history.lagAround(at);
    }

    private void checkEnd(Request request) {
        if (request.sentAt < 0 || request.end == End.LEFT) {
            return;
        }
        if (request.end == End.KILLED) {
            checkKilled(request);
            return;
        }
        double dueAt = Math.max(request.sentAt + request.deadlineMs, request.previousResponseAt) + LOST_AFTER_MS;
        if (request.end == null) {
            if (endAt > dueAt + tolerance(endAt)) {
                addViolation(SoakRule.ANSWERED, request.gateway, dueAt, "%s received no response", describe(request));
            }
            return;
        }
        if (request.end == End.CLOSED) {
            double before = request.endAt - request.sentAt;
            if (before > CROSSING_MS + tolerance(request.endAt) || !request.attempts.isEmpty()) {
                addViolation(
                        SoakRule.NOT_CLOSED_UNANSWERED,
                        request.gateway,
                        request.endAt,
                        "%s connection closed without a response %.0f ms after the request was written, %d attempts",
                        describe(request),
                        before,
                        request.attempts.size());
            }
            return;
        }
        if (request.endAt > dueAt + tolerance(request.endAt)) {
            addViolation(
                    SoakRule.ANSWERED,
                    request.gateway,
                    request.endAt,
                    "%s received its response %.0f ms after it was due",
                    describe(request),
                    request.endAt - dueAt + LOST_AFTER_MS);
        }
        if (request.end == End.SERVED && !request.response.startsWith(request.id + " ")) {
            addViolation(
                    SoakRule.OWN_VALUE,
                    request.gateway,
                    request.endAt,
                    "%s received the value %s, which doesn't begin with its id",
                    describe(request),
                    request.response);
        }
        if (request.end == End.REFUSED && !mayBeRefused(request)) {
            addViolation(
                    SoakRule.REFUSAL,
                    request.gateway,
                    request.endAt,
                    "%s rejected although an attempt may have run",
                    describe(request));
        }
    }

    /**
     * A kill excuses a missing response only if no SIGTERM preceded it, or if the request was sent late after the
     * SIGTERM.
     */
    private void checkKilled(Request request) {
        double responseDueUntil = request.terminationSentAt + GatewayProcess.TERMINATION_NOTICE_MS - CROSSING_MS;
        if (request.terminationSentAt >= 0 && request.sentAt <= responseDueUntil) {
            addViolation(
                    SoakRule.ANSWERED,
                    request.gateway,
                    request.endAt,
                    "%s received no response before the kill, SIGTERM sent at %.0f",
                    describe(request),
                    request.terminationSentAt);
        }
    }

    private boolean mayBeRefused(Request request) {
        boolean ran = request.attempts.stream().anyMatch(attempt -> mayHaveRun(attempt, request.endAt));
        boolean shared =
                request.requestClass == SoakClass.ORDER && plan.setup().reach().equals("all");
        return request.requestClass.safe() || shared || !ran;
    }

    /** Whether the attempt may have run by the given time: its command was complete and had not been rejected. */
    private static boolean mayHaveRun(Attempt attempt, double by) {
        return attempt.completeAt >= 0
                && attempt.completeAt <= by
                && !(attempt.rejected && attempt.endedAt <= by + ORDER_MS);
    }

    private static String describe(Request request) {
        return String.format(
                Locale.ROOT,
                "%s %s d=%d on connection %d, written at %.0f, %s at %.0f, previous response at %.0f, attempts %s:",
                request.requestClass,
                request.id,
                request.deadlineMs,
                request.connection,
                request.sentAt,
                request.end,
                request.endAt,
                request.previousResponseAt,
                request.attempts);
    }

    private void checkAttempts(Request request) {
        List<Attempt> attempts = request.attempts;
        long complete =
                attempts.stream().filter(attempt -> attempt.completeAt >= 0).count();
        // A reload may have allowed one more attempt for a while, so the larger of both limits applies.
        int max = plan.setup().maxAttempts() + 1;
        if (complete > max) {
            addViolation(
                    SoakRule.ATTEMPTS,
                    request.gateway,
                    request.endAt,
                    "%s had %d attempts",
                    describe(request),
                    complete);
        }
        for (int i = 0; i < attempts.size(); i++) {
            Attempt attempt = attempts.get(i);
            checkTimes(request, attempt);
            if (attempt.completeAt >= 0) {
                checkRepeat(request, attempts.subList(0, i), attempt);
            }
        }
    }

    private void checkTimes(Request request, Attempt attempt) {
        double at = attempt.firstByteAt;
        double slack = tolerance(at);
        if (request.end == End.LEFT && at > request.endAt + DISCONNECT_SLACK_MS + slack) {
            addViolation(
                    SoakRule.NOT_FOR_CLIENTS_THAT_LEFT,
                    attempt.gateway,
                    at,
                    "%s sent to backend %d %.0f ms after its client disconnected",
                    describe(request),
                    attempt.backend,
                    at - request.endAt);
        }
        boolean responded = request.end == End.SERVED || request.end == End.REFUSED || request.end == End.FAILED;
        if (responded && at > request.endAt + DISCONNECT_SLACK_MS + slack) {
            addViolation(
                    SoakRule.NOT_AFTER_THE_ANSWER,
                    attempt.gateway,
                    at,
                    "%s sent to backend %d %.0f ms after its final response",
                    describe(request),
                    attempt.backend,
                    at - request.endAt);
        }
        if (request.sentAt >= 0 && attempt.completeAt >= 0) {
            double remainingMs = request.deadlineMs - (at - request.sentAt);
            if (attempt.deadlineMs > Math.max(0, remainingMs) + DEADLINE_SLACK_MS + slack) {
                addViolation(
                        SoakRule.DEADLINE_PASSED_ON,
                        attempt.gateway,
                        at,
                        "%s sent to backend %d with deadline d=%d, %.0f ms remaining",
                        describe(request),
                        attempt.backend,
                        attempt.deadlineMs,
                        remainingMs);
            }
        }
    }

    private void checkRepeat(Request request, List<Attempt> before, Attempt attempt) {
        double at = attempt.firstByteAt;
        int inFlight = 0;
        for (Attempt earlier : before) {
            if (earlier.completeAt < 0) {
                continue;
            }
            boolean isInFlight = earlier.endedAt < 0 || earlier.endedAt > at + ORDER_MS + history.lagAround(at);
            inFlight += isInFlight ? 1 : 0;
            if (!mayHaveRun(earlier, at)) {
                continue;
            }
            checkRepeatOf(request, earlier, attempt);
        }
        int max = plan.setup().secondCopies() && request.requestClass != SoakClass.PAYMENT ? 1 : 0;
        if (inFlight > max) {
            addViolation(
                    SoakRule.SECOND_COPY,
                    attempt.gateway,
                    at,
                    "%s sent to backend %d with %d attempts in flight",
                    describe(request),
                    attempt.backend,
                    inFlight);
        }
    }

    private void checkRepeatOf(Request request, Attempt earlier, Attempt attempt) {
        double at = attempt.firstByteAt;
        String objection = null;
        if (request.requestClass == SoakClass.PAYMENT) {
            objection = "although its class is unsafe";
        } else if (request.requestClass == SoakClass.ORDER) {
            double sinceMs = at - earlier.firstByteAt;
            if (!plan.setup().sharesRepeats(locations.get(earlier.backend), locations.get(attempt.backend))) {
                objection = "which does not share repeat detection with the earlier backend";
            } else if (sinceMs > request.requestClass.windowMs + SOCKET_SLACK_MS + tolerance(at)) {
                objection = String.format(Locale.ROOT, "%.0f ms after the earlier attempt", sinceMs);
            }
        }
        if (objection != null) {
            addViolation(
                    SoakRule.REPEAT,
                    attempt.gateway,
                    at,
                    "%s repeated at backend %d, %s; earlier attempt at backend %d at %.0f",
                    describe(request),
                    attempt.backend,
                    objection,
                    earlier.backend,
                    earlier.firstByteAt);
        }
    }

    private void checkDrains() {
        for (Attempt attempt : history.attempts) {
            Change last = null;
            for (Change change : history.changes) {
                double notifiedAt = change.notifiedAt[attempt.gateway];
                boolean known = change.backend == attempt.backend
                        && (change.takesWork ? change.at : notifiedAt) >= 0
                        && (change.takesWork ? change.at : notifiedAt) <= attempt.firstByteAt;
                if (known && (last == null || change.at > last.at)) {
                    last = change;
                }
            }
            if (last == null || last.takesWork) {
                continue;
            }
            double since = attempt.firstByteAt - last.notifiedAt[attempt.gateway];
            if (since > plan.setup().graceMs() + SOCKET_SLACK_MS + tolerance(attempt.firstByteAt)) {
                addViolation(
                        SoakRule.DRAIN,
                        attempt.gateway,
                        attempt.firstByteAt,
                        "%s sent to backend %d %.0f ms after the gateway was notified of its drain; changed at %.0f",
                        describe(attempt.request),
                        attempt.backend,
                        since,
                        last.at);
            }
        }
    }

    private void checkSlowStarts() {
        history.starts.forEach((backend, starts) -> starts.forEach(startedAt -> checkSlowStart(backend, startedAt)));
    }

    private void checkSlowStart(int backend, double startedAt) {
        List<Attempt> since = history.attempts.stream()
                .filter(attempt -> attempt.backend == backend
                        && attempt.completeAt >= startedAt
                        && attempt.completeAt < startedAt + SlowStart.WARM_UP_MS)
                .sorted(Comparator.comparingDouble(attempt -> attempt.completeAt))
                .toList();
        for (int first = 0, last = 0; last < since.size(); last++) {
            while (since.get(last).completeAt - since.get(first).completeAt > SlowStart.OVERLOAD_WINDOW_MS) {
                first++;
            }
            int count = last - first + 1;
            double allowed = SlowStart.budget(capacityPerS, since.get(first).completeAt - startedAt);
            if (count > allowed
                    && notifiedShare(since.subList(first, last + 1), backend, startedAt) > MIN_NOTIFIED_SHARE) {
                addViolation(
                        SoakRule.SLOW_START,
                        since.get(last).gateway,
                        since.get(last).completeAt,
                        "backend %d, started at %.0f, received %d requests in 3 s, limit %.0f",
                        backend,
                        startedAt,
                        count,
                        allowed);
                return;
            }
        }
    }

    private double notifiedShare(List<Attempt> sent, int backend, double startedAt) {
        long notified = sent.stream()
                .filter(attempt -> history.changes.stream()
                        .anyMatch(change -> change.backend == backend
                                && change.takesWork
                                && Math.abs(change.at - startedAt) < 1
                                && change.notifiedAt[attempt.gateway] >= 0
                                && change.notifiedAt[attempt.gateway] <= attempt.firstByteAt))
                .count();
        return (double) notified / sent.size();
    }

    private void checkCeilings() {
        Map<String, List<Double>> sent = new HashMap<>();
        for (Request request : history.requests.values()) {
            if (request.plan.equals(Traffic.CEILING_PLAN)) {
                request.attempts.stream()
                        .filter(attempt -> attempt.completeAt >= 0)
                        .mapToDouble(attempt -> attempt.completeAt)
                        .min()
                        .ifPresent(at -> sent.computeIfAbsent(request.tenant, none -> new ArrayList<>())
                                .add(at));
            }
        }
        sent.forEach(this::checkCeiling);
    }

    private void checkCeiling(String tenant, List<Double> times) {
        times.sort(Comparator.naturalOrder());
        double tokens = Traffic.CEILING_BURST;
        double last = 0;
        for (double at : times) {
            tokens = Math.min(Traffic.CEILING_BURST, tokens + (at - last) / 1000 * Traffic.CEILING_PER_S) - 1;
            last = at;
            if (tokens < -Traffic.CEILING_SLACK) {
                addViolation(SoakRule.CEILING, -1, at, "tenant %s exceeds its ceiling by %.1f units", tenant, -tokens);
                return;
            }
        }
    }

    private void checkStall(Stall stall) {
        double until = stall.endedAt < 0 ? endAt : stall.endedAt;
        double previousResponseAt = stall.before == null ? stall.at : stall.before.endAt;
        double dueAt = Math.max(stall.at + STALL_MS, previousResponseAt);
        if (until > dueAt + SOCKET_SLACK_MS + tolerance(until)) {
            addViolation(
                    SoakRule.STALLED_CLIENT,
                    stall.gateway,
                    stall.at,
                    "connection of a client that stopped in the middle of a request was closed after %.0f ms%s",
                    until - stall.at,
                    stall.endedAt < 0 ? " or more" : "");
        }
    }
}
