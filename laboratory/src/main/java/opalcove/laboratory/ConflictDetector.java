package opalcove.laboratory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What gateways acted on, from when to when, gathered over the whole fleet: tells the longest time for which two of them acted
 * on different versions, and every case over a bound. Strict standings count for none: what they keep cannot contradict.
 */
public final class ConflictDetector {
    /** A gateway acted on all of a version, from one moment to another, ms of one clock. */
    public record Interval(String gateway, long version, long fromMs, long toMs) {}

    /** Two gateways acted on different versions for so long. */
    public record Case(Interval one, Interval other, long ms) {}

    private final List<Interval> intervals = new ArrayList<>();
    private final Map<String, Interval> open = new HashMap<>();

    /**
     * A gateway's standing changed. full: it acts on all of the version; endedMs: when it last could act on what it acted on
     * before, which is its lease's end where it stood still beyond that, and the same as atMs else.
     */
    public void recordState(String gateway, long version, boolean full, long atMs, long endedMs) {
        recordEnd(gateway, Math.min(atMs, endedMs));
        if (full) {
            open.put(gateway, new Interval(gateway, version, atMs, Long.MAX_VALUE));
        }
    }

    /** A gateway ended, or the history did. */
    public void recordEnd(String gateway, long atMs) {
        Interval interval = open.remove(gateway);
        if (interval != null) {
            intervals.add(
                    new Interval(gateway, interval.version(), interval.fromMs(), Math.max(interval.fromMs(), atMs)));
        }
    }

    /** All spells so far; those that go on end at the time given. */
    public List<Interval> intervals(long nowMs) {
        List<Interval> all = new ArrayList<>(intervals);
        open.values().forEach(each -> all.add(new Interval(each.gateway(), each.version(), each.fromMs(), nowMs)));
        return all;
    }

    /** All cases that lasted for more than the bound, the longest first. */
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

    /** The longest time of contradiction, 0 where there was none. */
    public long longestMs(long nowMs) {
        return conflictsLongerThan(0, nowMs).stream()
                .mapToLong(Case::ms)
                .findFirst()
                .orElse(0);
    }
}
