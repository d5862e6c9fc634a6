package opalcove.lifecycle;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * When the program's start reached each of its phases, counted from {@code main}. What the JVM needs before that is
 * not in it: the process itself has no cheap clock for it. Safe for use by several threads: the starting thread writes
 * first, the event loop later.
 */
public final class StartupTimes {
    /** The phases of a start, in the order in which they are reached. */
    public enum StartPhase {
        /** The configuration file has been read and checked. */
        CONFIGURATION_READ("CONFIGURATION_READ"),
        /** The admin server, membership and replicated configuration have been started, as far as there are any. */
        ADMIN_OPEN("DOOR_OPEN"),
        /** The warm-up has been run, or skipped. */
        WARMED_UP("REHEARSED"),
        /** The event loop runs. */
        EVENT_LOOP_UP("EVENT_LOOP_UP"),
        /** The gateway has its backends: from the stored list, from discovery, or none as discovery does not answer. */
        ENDPOINTS_KNOWN("LIST_KNOWN"),
        /** The front end listens. */
        LISTENING("FRONT_OPEN");

        /** The name in the log line, which tools read. */
        private final String logName;

        StartPhase(String logName) {
            this.logName = logName;
        }
    }

    private final LongSupplier nanoClock;
    private final long startedNanos;
    private final Map<StartPhase, Long> reachedAfterNanos = new EnumMap<>(StartPhase.class);

    /** Begins to count now. */
    public StartupTimes() {
        this(System::nanoTime);
    }

    /** Begins to count now, by a clock that gives ns. */
    StartupTimes(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        startedNanos = nanoClock.getAsLong();
    }

    /** Records that the phase has been reached; only the first time counts. */
    public synchronized void reached(StartPhase phase) {
        reachedAfterNanos.putIfAbsent(phase, nanoClock.getAsLong() - startedNanos);
    }

    /** The time to the last phase reached and what each took after the one before, ms, as one line for the log. */
    public synchronized String logLine() {
        StringBuilder phases = new StringBuilder();
        long beforeNanos = 0;
        for (Map.Entry<StartPhase, Long> each : reachedAfterNanos.entrySet()) {
            phases.append(phases.length() == 0 ? "" : ", ")
                    .append(each.getKey().logName)
                    .append(' ')
                    .append(millis(each.getValue() - beforeNanos));
            beforeNanos = each.getValue();
        }
        return new StringBuilder("started in ")
                .append(millis(beforeNanos))
                .append(" ms: ")
                .append(phases)
                .toString();
    }

    private static long millis(long nanoClock) {
        return TimeUnit.NANOSECONDS.toMillis(nanoClock);
    }
}
