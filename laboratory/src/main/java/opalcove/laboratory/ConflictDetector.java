package opalcove.laboratory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records which version each gateway of a fleet acted on during which time, and finds the times during which two gateways
 * acted on different versions. A gateway in strict mode is not counted, since what it still does cannot conflict.
 */
public final class ConflictDetector {
    /** The time during which a gateway acted fully on a version, in ms of one clock. */
    public record Interval(String gateway, long version, long fromMs, long toMs) {}

    /** Two gateways that acted on different versions at once, and for how many ms. */
    public record Case(Interval one, Interval other, long ms) {}

    private final List<Interval> intervals = new ArrayList<>();
    private final Map<String, Interval> open = new HashMap<>();

    /**
     * Records that a gateway's lease state changed.
     *
     * @param full whether the gateway now acts fully on the version
     * @param atMs when the state changed
     * @param endedMs when the gateway could last act on its previous version: the end of its lease if the gateway was paused
     *     beyond that, otherwise the same as atMs
     */
    public void recordState(String gateway, long version, boolean full, long atMs, long endedMs) {
        recordEnd(gateway, Math.min(atMs, endedMs));
        if (full) {
            open.put(gateway, new Interval(gateway, version, atMs, Long.MAX_VALUE));
        }
    }

    /** Records that a gateway stopped acting on its version because it, or the history, ended. */
    public void recordEnd(String gateway, long atMs) {
        Interval interval = open.remove(gateway);
        if (interval != null) {
            intervals.add(
                    new Interval(gateway, interval.version(), interval.fromMs(), Math.max(interval.fromMs(), atMs)));
        }
    }

    /** Returns all intervals so far; those that are still open end at the given time. */
    public List<Interval> intervals(long nowMs) {
        List<Interval> all = new ArrayList<>(intervals);
        open.values().forEach(each -> all.add(new Interval(each.gateway(), each.version(), each.fromMs(), nowMs)));
        return all;
    }

    /** Returns all conflicts that lasted longer than the bound, the longest first. */
    public List<Case> conflictsLongerThan(long boundMs, long nowMs) {
        List<Interval> all = intervals(nowMs);
        List<Case> cases = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            for (int j = i + 1; j < all.size(); j++) {
                Interval a = all.get(i);
                Interval b = all.get(j);
                long ms = Math.min(a.toMs(), b.toMs()) - Math.max(a.fromMs(), b.fromMs());
                if (a.version() != b.version() && ms > boundMs) {
                    cases.add(new Case(a, b, ms));
                }
            }
        }
        cases.sort((a, b) -> Long.compare(b.ms(), a.ms()));
        return cases;
    }

    /** Returns the duration of the longest conflict in ms, or 0 if there was none. */
    public long longestMs(long nowMs) {
        return conflictsLongerThan(0, nowMs).stream()
                .mapToLong(Case::ms)
                .findFirst()
                .orElse(0);
    }
}
