package opalcove.metrics;

import opalcove.decision.AttemptStatus;

/** What the gateway took in, sent and answered. One event loop writes them. */
public final class Counters {
    public long received;
    public long joined;
    public long attempts;
    public long served;
    public long refused;
    public long failed;
    public long clientsLeft;
    public long vetoed;
    public long deadlineExpired;
    public long cancelled;
    public long vetoedLate;
    public long healthChecks;
    public long endpointPollsFailed;
    public long endpointListsRejected;
    public long implausibleStartTimes;
    public long connectionsClosedForDescriptors;
    public long connectionsRefusedForDescriptors;
    private final long[] ends = new long[AttemptStatus.values().length];
    private final long[] refusals = new long[ShedReason.values().length];
    private final long[] closed = new long[ConnectionCloseReason.values().length];

    /** Counts the end of an attempt. */
    public void ended(AttemptStatus result) {
        ends[result.ordinal()]++;
    }

    /** Counts why a request was shed. */
    public void refused(ShedReason why) {
        refusals[why.ordinal()]++;
    }

    /** Counts why a client connection was closed. */
    public void closed(ConnectionCloseReason why) {
        closed[why.ordinal()]++;
    }

    /** One name and figure a line. */
    public String lines() {
        StringBuilder text = new StringBuilder();
        line(text, "taken", received);
        line(text, "joined", joined);
        line(text, "attempts", attempts);
        for (AttemptStatus each : AttemptStatus.values()) {
            line(text, "attempts_" + figure(each), ends[each.ordinal()]);
        }
        line(text, "given_up", cancelled);
        line(text, "lapsed_while_dialled", vetoedLate);
        line(text, "probes", healthChecks);
        line(text, "served", served);
        line(text, "refused", refused);
        for (ShedReason each : ShedReason.values()) {
            line(text, "refused." + each.figure(), refusals[each.ordinal()]);
        }
        line(text, "failed", failed);
        for (ConnectionCloseReason each : ConnectionCloseReason.values()) {
            line(text, "connections_ended." + each.figure(), closed[each.ordinal()]);
        }
        line(text, "terminals_left", clientsLeft);
        line(text, "list_calls_failed", endpointPollsFailed);
        line(text, "lists_refused", endpointListsRejected);
        line(text, "starts_of_other_clocks", implausibleStartTimes);
        line(text, "connections_closed_for_descriptors", connectionsClosedForDescriptors);
        line(text, "connections_refused_for_descriptors", connectionsRefusedForDescriptors);
        line(text, "stopped_by_guards", vetoed);
        line(text, "ended_by_deadline_guard", deadlineExpired);
        return text.toString();
    }

    /** The name in figures of an attempt's end. */
    private static String figure(AttemptStatus result) {
        return switch (result) {
            case SERVED -> "served";
            case ERROR -> "error";
            case REJECTED -> "turned_away";
            case TIMED_OUT -> "timed_out";
            case UNREACHABLE -> "unreachable";
            case BROKEN -> "broken";
            case CANCELLED -> "cancelled";
            case NOT_SENT -> "not_sent";
        };
    }

    private static void line(StringBuilder text, String name, long figure) {
        text.append(name).append('=').append(figure).append('\n');
    }
}
