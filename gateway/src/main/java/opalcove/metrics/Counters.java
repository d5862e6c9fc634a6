package opalcove.metrics;

import opalcove.decision.AttemptStatus;

/** What the gateway took in, sent and answered. One event loop writes them. */
public final class Counters {
    public long taken;
    public long joined;
    public long attempts;
    public long served;
    public long refused;
    public long failed;
    public long left;
    public long guarded;
    public long overdue;
    public long cancelled;
    public long lapsed;
    public long probes;
    public long listCallsFailed;
    public long listsRefused;
    public long startsOfOtherClocks;
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
        line(text, "taken", taken);
        line(text, "joined", joined);
        line(text, "attempts", attempts);
        for (AttemptStatus each : AttemptStatus.values()) {
            line(text, "attempts_" + figure(each), ends[each.ordinal()]);
        }
        line(text, "given_up", cancelled);
        line(text, "lapsed_while_dialled", lapsed);
        line(text, "probes", probes);
        line(text, "served", served);
        line(text, "refused", refused);
        for (ShedReason each : ShedReason.values()) {
            line(text, "refused." + each.figure(), refusals[each.ordinal()]);
        }
        line(text, "failed", failed);
        for (ConnectionCloseReason each : ConnectionCloseReason.values()) {
            line(text, "connections_ended." + each.figure(), closed[each.ordinal()]);
        }
        line(text, "terminals_left", left);
        line(text, "list_calls_failed", listCallsFailed);
        line(text, "lists_refused", listsRefused);
        line(text, "starts_of_other_clocks", startsOfOtherClocks);
        line(text, "connections_closed_for_descriptors", connectionsClosedForDescriptors);
        line(text, "connections_refused_for_descriptors", connectionsRefusedForDescriptors);
        line(text, "stopped_by_guards", guarded);
        line(text, "ended_by_deadline_guard", overdue);
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
