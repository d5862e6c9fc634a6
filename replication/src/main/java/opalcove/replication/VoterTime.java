package opalcove.replication;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;

/**
 * The executor and the clock of a voter, based on its host's thread and clock. They run faster than the host's time,
 * because the consensus library only has periods in whole seconds.
 */
final class VoterTime {
    /** The factor by which a voter's time runs faster than the host's. */
    private static final int SPEEDUP = 4;

    private VoterTime() {}

    /** Runs the voter's tasks on the host's thread. */
    static final class Executor implements RaftNodeExecutor {
        private final ConfigReplica.Host host;

        Executor(ConfigReplica.Host host) {
            this.host = host;
        }

        @Override
        public void execute(Runnable task) {
            host.schedule(0, task);
        }

        @Override
        public void submit(Runnable task) {
            host.schedule(0, task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            host.schedule(Math.max(1, unit.toMillis(delay) / SPEEDUP), task);
        }
    }

    /** The host's monotonic clock, accelerated. */
    static final class AcceleratedClock extends Clock {
        private final ConfigReplica.Host host;

        AcceleratedClock(ConfigReplica.Host host) {
            this.host = host;
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public long millis() {
            return host.nowMs() * SPEEDUP;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(millis());
        }
    }
}
