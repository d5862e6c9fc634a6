package opalcove.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import opalcove.config.Backend;
import opalcove.decision.Endpoint;

/**
 * When nodes have started, by this machine's clock. A list tells it by another machine's clock, which may be apart from this
 * one by any time, forward or back, and may be stepped; so a start is turned into an age when it is told, once, and the age
 * is bounded by what was seen:
 *
 * <ul>
 *   <li>A node that starts anew while discovery is followed, or joins its list then, has started since discovery was last
 *       heard, but for the time in which it learns what it tells. An age beyond that, or below 0, shows that the clocks are
 *       apart: then it has started when it was told.
 *   <li>Of the first list nothing was seen before. Where discovery's own time came with it, ages are by that time; else no
 *       node can have started later than discovery's now, so where the youngest start lies ahead of this machine's clock,
 *       ages are counted back from the youngest.
 * </ul>
 *
 * <p>Free of I/O; the times are its caller's.
 */
final class SlowStartTimes {
    /** What discovery has to tell counts as told so much later at the latest, ms. */
    private static final double TOLD_WITHIN_MS = 6000;
    /** A start that is told as this is long ago. */
    private static final double LONG_AGO = 0;

    /** A node's start as the list told it, and by this machine's clock. */
    private record Start(double told, double local) {}

    private final Map<String, Start> starts = new HashMap<>();
    /** When discovery was last heard; negative before that, when the nodes known are those of an earlier process. */
    private double heardAt = -1;

    private int implausibleStarts;

    /** Discovery was heard, with or without news; told after the news. */
    void sourceContacted(double now) {
        heardAt = now;
    }

    /** Starts that were told so that the clocks must be apart. */
    int implausibleStarts() {
        return implausibleStarts;
    }

    /**
     * Takes in the whole list, or its changed lines, now; gives their hosts with the starts by this machine's clock.
     *
     * @param discoveryNow discovery's own time as it gave the list, or 0 where it is not known
     */
    List<Endpoint> update(boolean whole, List<Backend> lines, double now, double discoveryNow) {
        double reference = reference(lines, now, discoveryNow);
        for (Backend line : lines) {
            starts.put(line.name(), start(line, now, reference));
        }
        if (whole) {
            Set<String> listed = new HashSet<>();
            lines.forEach(line -> listed.add(line.name()));
            starts.keySet().retainAll(listed);
        }
        return hosts(lines);
    }

    /** The hosts of nodes that were told before. */
    List<Endpoint> hosts(List<Backend> backends) {
        return backends.stream()
                .map(backend ->
                        backend.host().started(starts.get(backend.name()).local()))
                .toList();
    }

    /** What the starts are compared with. */
    private double reference(List<Backend> lines, double now, double discoveryNow) {
        if (discoveryNow > 0) {
            return discoveryNow;
        }
        if (heardAt >= 0) {
            return now;
        }
        double youngest = lines.stream()
                .mapToDouble(line -> line.host().startedMs())
                .max()
                .orElse(LONG_AGO);
        return Math.max(now, youngest);
    }

    private Start start(Backend line, double now, double reference) {
        double told = line.host().startedMs();
        Start before = starts.get(line.name());
        if (before != null && before.told() == told) {
            return before;
        }
        if (told == LONG_AGO) {
            return new Start(told, LONG_AGO);
        }
        double age = reference - told;
        if (heardAt >= 0 && (age < 0 || age > now - heardAt + TOLD_WITHIN_MS)) {
            implausibleStarts++;
            age = 0;
        }
        return new Start(told, now - Math.max(0, age));
    }
}
