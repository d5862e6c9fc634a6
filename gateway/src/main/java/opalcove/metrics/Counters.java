package opalcove.metrics;

import opalcove.decision.AttemptStatus;

/** The counters of INFO: the requests, attempts and connections of the gateway. Must be used on the event loop only. */
public final class Counters {
    public long received;
    public long joined;
    public long attempts;
    public long served;
    public long refused;
    public long failed;
    public long clientsDisconnected;
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
    public long clientChecksIncomplete;
    public long readsPausedForMemory;
    public long allocationsFailed;
    private final long[] attemptsByStatus = new long[AttemptStatus.values().length];
    private final long[] refusedByReason = new long[ShedReason.values().length];
    private final long[] closedByReason = new long[ConnectionCloseReason.values().length];

    /** Counts an attempt that ended with this status. */
    public void attemptEnded(AttemptStatus status) {
        attemptsByStatus[status.ordinal()]++;
    }

    /** Counts a request that was refused for this reason. */
    public void refused(ShedReason reason) {
        refusedByReason[reason.ordinal()]++;
    }

    /** Counts a client connection that was closed for this reason. */
    public void closed(ConnectionCloseReason reason) {
        closedByReason[reason.ordinal()]++;
    }

    /** Returns the counters in the format of INFO: one name and value per line. */
    public String infoLines() {
        StringBuilder text = new StringBuilder();
        line(text, "taken", received);
        line(text, "joined", joined);
        line(text, "attempts", attempts);
        for (AttemptStatus status : AttemptStatus.values()) {
            line(text, "attempts_" + metricName(status), attemptsByStatus[status.ordinal()]);
        }
        line(text, "given_up", cancelled);
        line(text, "lapsed_while_dialled", vetoedLate);
        line(text, "probes", healthChecks);
        line(text, "served", served);
        line(text, "refused", refused);
        for (ShedReason reason : ShedReason.values()) {
            line(text, "refused." + reason.metricName(), refusedByReason[reason.ordinal()]);
        }
        line(text, "failed", failed);
        for (ConnectionCloseReason reason : ConnectionCloseReason.values()) {
            line(text, "connections_ended." + reason.metricName(), closedByReason[reason.ordinal()]);
        }
        line(text, "terminals_left", clientsDisconnected);
        line(text, "list_calls_failed", endpointPollsFailed);
        line(text, "lists_refused", endpointListsRejected);
        line(text, "starts_of_other_clocks", implausibleStartTimes);
        line(text, "connections_closed_for_descriptors", connectionsClosedForDescriptors);
        line(text, "connections_refused_for_descriptors", connectionsRefusedForDescriptors);
        line(text, "client_checks_incomplete", clientChecksIncomplete);
        line(text, "reads_paused_for_memory", readsPausedForMemory);
        line(text, "allocations_failed", allocationsFailed);
        line(text, "stopped_by_guards", vetoed);
        line(text, "ended_by_deadline_guard", deadlineExpired);
        return text.toString();
    }

    /** Returns the name of the status in INFO. */
    private static String metricName(AttemptStatus status) {
        return switch (status) {
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

    private static void line(StringBuilder text, String name, long value) {
        text.append(name).append('=').append(value).append('\n');
    }
}
