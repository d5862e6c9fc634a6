package opalcove.lifecycle;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * When the program's start reached each of its phases, counted from {@code main}. What the JVM needs before that is not
 * in it: the process itself has no cheap clock for it. Written by the starting thread first and by the event loop later.
 */
public final class StartupTimes {
    /** The phases of a start, in the order in which they are reached. */
    public enum StartPhase {
        /** The configuration file has been read and checked. */
        CONFIGURATION_READ,
        /** The operators' door, membership and agreed versions have been started, as far as there are any. */
        DOOR_OPEN,
        /** The rehearsal has been played, or passed over. */
        REHEARSED,
        /** The event loop runs. */
        EVENT_LOOP_UP,
        /** The gateway has its backends: from the known list, from discovery, or none as discovery does not answer. */
        LIST_KNOWN,
        /** The front listens. */
        FRONT_OPEN
    }

    private final LongSupplier nanos;
    private final long begunAt;
    private final Map<StartPhase, Long> reachedAfter = new EnumMap<>(StartPhase.class);

    /** Begins to count now. */
    public StartupTimes() {
        this(System::nanoTime);
    }

    /** Begins to count now, by a clock that gives ns. */
    StartupTimes(LongSupplier nanos) {
        this.nanos = nanos;
        begunAt = nanos.getAsLong();
    }

    /** Notes that the phase has been reached; only the first time counts. */
    public synchronized void reached(StartPhase phase) {
        reachedAfter.putIfAbsent(phase, nanos.getAsLong() - begunAt);
    }

    /** The time to the last phase reached and what each took after the one before, ms, as one line for the log. */
    public synchronized String line() {
        StringBuilder phases = new StringBuilder();
        long before = 0;
        for (Map.Entry<StartPhase, Long> each : reachedAfter.entrySet()) {
            phases.append(phases.length() == 0 ? "" : ", ")
                    .append(each.getKey())
                    .append(' ')
                    .append(millis(each.getValue() - before));
            before = each.getValue();
        }
        return new StringBuilder("started in ")
                .append(millis(before))
                .append(" ms: ")
                .append(phases)
                .toString();
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
