package opalcove.lifecycle;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Records when the start of the process reached each of its phases, counted from {@code main}. The time that the JVM
 * needs before {@code main} is not included, because the process has no cheap way to measure it. Thread-safe: the
 * starting thread writes first and the event loop later.
 */
public final class StartupTimes {
    /** The phases of a start, in the order in which they are reached. */
    public enum StartPhase {
        /** The configuration file has been read and checked. */
        CONFIGURATION_READ("CONFIGURATION_READ"),
        /**
         * The admin server, membership and replicated configuration have been started, if the configuration has them.
         */
        ADMIN_OPEN("DOOR_OPEN"),
        /** The warm-up has been run or skipped. */
        WARMED_UP("REHEARSED"),
        /** The event loop runs. */
        EVENT_LOOP_UP("EVENT_LOOP_UP"),
        /**
         * The backends are known from the stored list or discovery, or there are none because discovery does not
         * respond.
         */
        ENDPOINTS_KNOWN("LIST_KNOWN"),
        /** The server listens for clients. */
        LISTENING("FRONT_OPEN");

        /** The name of the phase in the log line, which tools parse. */
        private final String logName;

        StartPhase(String logName) {
            this.logName = logName;
        }
    }

    private final LongSupplier nanoClock;
    private final long startedNanos;
    private final Map<StartPhase, Long> reachedAfterNanos = new EnumMap<>(StartPhase.class);

    /** Starts measuring now. */
    public StartupTimes() {
        this(System::nanoTime);
    }

    /** Starts measuring now, with a clock in ns. */
    StartupTimes(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        startedNanos = nanoClock.getAsLong();
    }

    /** Records that the phase has been reached; later calls for the same phase have no effect. */
    public synchronized void reached(StartPhase phase) {
        reachedAfterNanos.putIfAbsent(phase, nanoClock.getAsLong() - startedNanos);
    }

    /** Returns a log line with the time to the last phase and the time of each phase since the previous one, in ms. */
    public synchronized String logLine() {
        StringBuilder phases = new StringBuilder();
        long previousNanos = 0;
        for (Map.Entry<StartPhase, Long> entry : reachedAfterNanos.entrySet()) {
            phases.append(phases.length() == 0 ? "" : ", ")
                    .append(entry.getKey().logName)
                    .append(' ')
                    .append(millis(entry.getValue() - previousNanos));
            previousNanos = entry.getValue();
        }
        return new StringBuilder("started in ")
                .append(millis(previousNanos))
                .append(" ms: ")
                .append(phases)
                .toString();
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
