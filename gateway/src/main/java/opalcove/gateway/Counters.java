package opalcove.gateway;

import opalcove.decision.Admission;

/** What the gateway took in, sent and answered. One event loop writes them. */
final class Counters {
    long taken;
    long joined;
    long attempts;
    long served;
    long refused;
    long failed;
    long left;
    long guarded;
    long overdue;
    long cancelled;
    long lapsed;
    long probes;
    long listCallsFailed;
    long listsRefused;
    long startsOfOtherClocks;
    long connectionsClosedForDescriptors;
    long connectionsRefusedForDescriptors;
    private final long[] ends = new long[Admission.Result.values().length];
    private final long[] refusals = new long[Refusal.values().length];
    private final long[] closed = new long[ConnectionEnd.values().length];

    void ended(Admission.Result result) {
        ends[result.ordinal()]++;
    }

    void refused(Refusal why) {
        refusals[why.ordinal()]++;
    }

    void closed(ConnectionEnd why) {
        closed[why.ordinal()]++;
    }

    /** One name and figure a line. */
    String lines() {
        StringBuilder text = new StringBuilder();
        line(text, "taken", taken);
        line(text, "joined", joined);
        line(text, "attempts", attempts);
        for (Admission.Result each : Admission.Result.values()) {
            line(text, "attempts_" + figure(each), ends[each.ordinal()]);
        }
        line(text, "given_up", cancelled);
        line(text, "lapsed_while_dialled", lapsed);
        line(text, "probes", probes);
        line(text, "served", served);
        line(text, "refused", refused);
        for (Refusal each : Refusal.values()) {
            line(text, "refused." + each.figure(), refusals[each.ordinal()]);
        }
        line(text, "failed", failed);
        for (ConnectionEnd each : ConnectionEnd.values()) {
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
    private static String figure(Admission.Result result) {
        return switch (result) {
            case SERVED -> "served";
            case ERROR -> "error";
            case TURNED_AWAY -> "turned_away";
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
