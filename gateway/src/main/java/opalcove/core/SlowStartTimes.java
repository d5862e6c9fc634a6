package opalcove.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import opalcove.config.Backend;
import opalcove.decision.Endpoint;

/**
 * When backends have started, by this machine's clock. The list gives start times of another machine's clock, which may
 * differ from this one by any time, forward or back, and may be stepped; so a start is turned into an age once, when it is
 * received, and the age is bounded by what was observed:
 *
 * <ul>
 *   <li>A backend that restarts, or joins the list, while the source is followed has started since the source was last
 *       reached, but for the delay of its report. An age beyond that, or below 0, shows that the clocks differ: then it
 *       counts as started when the report came.
 *   <li>Before the first list nothing was observed. Where the source's own time came with it, ages are by that time; else no
 *       backend can have started later than the source's now, so where the youngest start lies ahead of this machine's
 *       clock, ages are counted back from the youngest.
 * </ul>
 *
 * <p>Free of I/O; the times are its caller's. Used on the event loop only.
 */
final class SlowStartTimes {
    /** A start may be reported this much later than it happened, ms. */
    private static final double MAX_REPORT_DELAY_MS = 6000;
    /** The reported start time that stands for long ago. */
    private static final double LONG_AGO = 0;

    /** A start as the list reported it, and by this machine's clock, ms. */
    private record Start(double reportedMs, double localMs) {}

    private final Map<String, Start> starts = new HashMap<>();
    /**
     * When the endpoint source was last reached; negative before that, when the backends known are those of an earlier
     * process, ms.
     */
    private double lastContactMs = -1;

    private int implausibleStarts;

    /** The endpoint source was reached, with or without changes; called after {@link #update}. */
    void sourceContacted(double nowMs) {
        lastContactMs = nowMs;
    }

    /** How many reported starts were impossible by this machine's clock, so that the clocks must differ. */
    int implausibleStarts() {
        return implausibleStarts;
    }

    /**
     * Takes in the complete list, or its changed entries; gives them with their starts by this machine's clock.
     *
     * @param discoveryNow the source's own time as it gave the list, or 0 where it is not known
     */
    List<Endpoint> update(boolean complete, List<Backend> entries, double nowMs, double sourceNowMs) {
        double referenceMs = reference(entries, nowMs, sourceNowMs);
        for (Backend entry : entries) {
            starts.put(entry.name(), start(entry, nowMs, referenceMs));
        }
        if (complete) {
            Set<String> listed = new HashSet<>();
            entries.forEach(entry -> listed.add(entry.name()));
            starts.keySet().retainAll(listed);
        }
        return localEndpoints(entries);
    }

    /** The endpoints of backends that were taken in before, with their starts by this machine's clock. */
    List<Endpoint> localEndpoints(List<Backend> backends) {
        return backends.stream()
                .map(backend -> backend.endpoint()
                        .withStartedMs(starts.get(backend.name()).localMs()))
                .toList();
    }

    /** The time that the reported starts are compared with, ms. */
    private double reference(List<Backend> entries, double nowMs, double sourceNowMs) {
        if (sourceNowMs > 0) {
            return sourceNowMs;
        }
        if (lastContactMs >= 0) {
            return nowMs;
        }
        double youngest = entries.stream()
                .mapToDouble(entry -> entry.endpoint().startedMs())
                .max()
                .orElse(LONG_AGO);
        return Math.max(nowMs, youngest);
    }

    private Start start(Backend entry, double nowMs, double referenceMs) {
        double reportedMs = entry.endpoint().startedMs();
        Start before = starts.get(entry.name());
        if (before != null && before.reportedMs() == reportedMs) {
            return before;
        }
        if (reportedMs == LONG_AGO) {
            return new Start(reportedMs, LONG_AGO);
        }
        double ageMs = referenceMs - reportedMs;
        if (lastContactMs >= 0 && (ageMs < 0 || ageMs > nowMs - lastContactMs + MAX_REPORT_DELAY_MS)) {
            implausibleStarts++;
            ageMs = 0;
        }
        return new Start(reportedMs, nowMs - Math.max(0, ageMs));
    }
}
