package opalcove.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import opalcove.config.Backend;
import opalcove.decision.Endpoint;

/**
 * The start times of backends by this machine's clock. The list gives start times by the clock of another machine,
 * which may differ from this one by any amount in either direction and may be stepped. Each start time is therefore
 * converted into an age once, when it is received, and the age is limited by what was observed:
 *
 * <ul>
 *   <li>A backend that restarts or joins the list while the source is being followed has started since the source was
 *       last reached, apart from the delay of the report. A greater age, or one below 0, shows that the clocks differ;
 *       the backend then counts as started when the report was received.
 *   <li>Before the first list nothing was observed. If the list came with the source's own time, ages are relative to
 *       that. Otherwise no backend can have started later than the source's present time; if the latest start is ahead
 *       of this machine's clock, ages are relative to the latest start.
 * </ul>
 *
 * <p>Performs no I/O; the caller supplies the times. Used on the event loop only.
 */
final class SlowStartTimes {
    /** A start may be reported this much later than it happened, ms. */
    private static final double MAX_REPORT_DELAY_MS = 6000;
    /** The reported start time that means that the backend started long ago. */
    private static final double LONG_AGO_MS = 0;

    /** A start time as the list reported it, and by this machine's clock, Unix ms. */
    private record Start(double reportedMs, double localMs) {}

    private final Map<String, Start> starts = new HashMap<>();
    /**
     * When the endpoint source was last reached, ms. Negative until then; the backends known until then are those of an
     * earlier process: the endpoints that the configuration lists as last known.
     */
    private double lastContactMs = -1;

    private int implausibleStarts;

    /** Records that the endpoint source was reached, with or without changes; called after {@link #update}. */
    void sourceContacted(double nowMs) {
        lastContactMs = nowMs;
    }

    /**
     * Returns how many reported start times were impossible by this machine's clock, which shows that the clocks
     * differ.
     */
    int implausibleStarts() {
        return implausibleStarts;
    }

    /**
     * Applies the complete list or its changed entries, and returns them with their start times by this machine's
     * clock.
     *
     * @param sourceNowMs the time of the source's own clock when it sent the list, Unix ms, or 0 if it is not known
     */
    List<Endpoint> update(boolean complete, List<Backend> entries, double nowMs, double sourceNowMs) {
        double referenceMs = referenceTimeMs(entries, nowMs, sourceNowMs);
        for (Backend entry : entries) {
            starts.put(entry.name(), resolveStart(entry, nowMs, referenceMs));
        }
        if (complete) {
            Set<String> listed = new HashSet<>();
            entries.forEach(entry -> listed.add(entry.name()));
            starts.keySet().retainAll(listed);
        }
        return localEndpoints(entries);
    }

    /** Returns the endpoints of backends that were applied before, with their start times by this machine's clock. */
    List<Endpoint> localEndpoints(List<Backend> backends) {
        return backends.stream()
                .map(backend -> backend.endpoint()
                        .withStartedMs(starts.get(backend.name()).localMs()))
                .toList();
    }

    /** Returns the time from which the ages of the reported starts are computed, ms. */
    private double referenceTimeMs(List<Backend> entries, double nowMs, double sourceNowMs) {
        if (sourceNowMs > 0) {
            return sourceNowMs;
        }
        if (lastContactMs >= 0) {
            return nowMs;
        }
        double latestStartMs = entries.stream()
                .mapToDouble(entry -> entry.endpoint().startedMs())
                .max()
                .orElse(LONG_AGO_MS);
        return Math.max(nowMs, latestStartMs);
    }

    private Start resolveStart(Backend entry, double nowMs, double referenceMs) {
        double reportedMs = entry.endpoint().startedMs();
        Start known = starts.get(entry.name());
        if (known != null && known.reportedMs() == reportedMs) {
            return known;
        }
        if (reportedMs == LONG_AGO_MS) {
            return new Start(reportedMs, LONG_AGO_MS);
        }
        double ageMs = referenceMs - reportedMs;
        if (lastContactMs >= 0 && (ageMs < 0 || ageMs > nowMs - lastContactMs + MAX_REPORT_DELAY_MS)) {
            implausibleStarts++;
            ageMs = 0;
        }
        return new Start(reportedMs, nowMs - Math.max(0, ageMs));
    }
}
