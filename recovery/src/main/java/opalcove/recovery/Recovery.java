package opalcove.recovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The recovery of a gateway after its start: what of its snapshot to trust, given what the voters and the other
 * gateways report, and when to accept clients. It does no I/O and reads no clock: the host passes the time in, in Unix
 * ms that never go back. Not thread-safe; owned by one thread of its host.
 */
public final class Recovery {
    /**
     * The phases of the recovery. The constants' names are also the phases' names in events and in the output of
     * commands.
     */
    public enum Phase {
        /** Waits for the voters and the members known from before; clients are not accepted yet. */
        WAITING(0),
        /** No voter responded in time: the gateway acts on its snapshot, strictly. */
        ALONE(1),
        /** The fleet lost power: bursts are restricted for a while. */
        RESTORING(2),
        /** Back to normal. */
        FULL(3);

        private final int code;

        Phase(int code) {
            this.code = code;
        }

        /** The phase's number in the figure {@code recovery.phase}. */
        public int code() {
            return code;
        }
    }

    private final long startedAtMs;
    private final Snapshot snapshot;
    private final String whyNoSnapshot;
    private final RecoveryConfig config;
    private Phase phase = Phase.WAITING;
    private boolean hasFleetLostPower;
    private long readyAtMs;

    /**
     * A recovery that starts at that time.
     *
     * @param snapshot the snapshot found; null if there is none that can be used
     * @param whyNoSnapshot why there is none; else empty
     */
    public Recovery(long startedAtMs, Snapshot snapshot, String whyNoSnapshot, RecoveryConfig config) {
        this.startedAtMs = startedAtMs;
        this.snapshot = snapshot;
        this.whyNoSnapshot = whyNoSnapshot;
        this.config = config;
    }

    /** The current phase. */
    public Phase phase() {
        return phase;
    }

    /**
     * Moves on to the phase that is due, and says what to do in it.
     *
     * @param agreedVersion the version in force as the voters reported it; below 0 while none has responded
     * @param incarnations the incarnations of the other gateways that are present, by name
     */
    public RecoveryPlan plan(long nowMs, long agreedVersion, Map<String, Long> incarnations) {
        long elapsedMs = nowMs - startedAtMs;
        if (phase == Phase.WAITING
                && agreedVersion >= 0
                && (haveMembersJoined(incarnations) || elapsedMs >= config.membersTimeoutMs())) {
            hasFleetLostPower = hasFleetLostPower(incarnations);
            enter(hasFleetLostPower ? Phase.RESTORING : Phase.FULL, nowMs);
        } else if (phase == Phase.WAITING && elapsedMs >= config.votersTimeoutMs()) {
            hasFleetLostPower = true;
            enter(Phase.ALONE, nowMs);
        } else if (phase == Phase.ALONE && agreedVersion >= 0) {
            phase = Phase.RESTORING;
        }
        if (phase == Phase.RESTORING && nowMs >= readyAtMs + config.quotaHoldMs()) {
            phase = Phase.FULL;
        }
        return describe(nowMs, agreedVersion, incarnations.size());
    }

    /** When the plan may change by time alone, in ms. */
    public long nextChangeMs() {
        return switch (phase) {
            case WAITING -> startedAtMs + config.membersTimeoutMs();
            case RESTORING -> readyAtMs + config.quotaHoldMs();
            case ALONE, FULL -> Long.MAX_VALUE;
        };
    }

    private void enter(Phase next, long nowMs) {
        phase = next;
        readyAtMs = nowMs;
    }

    /** Whether enough of the members known from before are present to tell whether the fleet lost power. */
    private boolean haveMembersJoined(Map<String, Long> incarnations) {
        if (snapshot == null) {
            return incarnations.values().stream().anyMatch(this::isOlderThanOutage);
        }
        long present = snapshot.members().stream()
                .filter(each -> incarnations.containsKey(each.name()))
                .count();
        return 2 * present >= snapshot.members().size();
    }

    /** Whether a process of that incarnation was running before: it did not lose power together with this gateway. */
    private boolean isOlderThanOutage(long incarnation) {
        return incarnation < startedAtMs - config.outageWindowMs();
    }

    private boolean hasFleetLostPower(Map<String, Long> incarnations) {
        Map<String, Long> known = new HashMap<>(incarnations);
        if (snapshot != null) {
            snapshot.members().forEach(each -> known.putIfAbsent(each.name(), Long.MAX_VALUE));
        }
        long stillRunning =
                known.values().stream().filter(this::isOlderThanOutage).count();
        return 2 * stillRunning <= known.size();
    }

    private RecoveryPlan describe(long nowMs, long agreedVersion, int presentMembers) {
        List<String> trusted = new ArrayList<>();
        List<String> refused = new ArrayList<>();
        judgeSnapshot(nowMs, agreedVersion, trusted, refused);
        List<String> pending = new ArrayList<>();
        if (agreedVersion < 0) {
            pending.add("the voters: which version is in force");
        }
        if (phase == Phase.WAITING) {
            pending.add("the members: since when they run (" + presentMembers + " are there)");
        }
        boolean usesSnapshot = phase == Phase.ALONE && snapshot != null && snapshot.version() > 0;
        if (usesSnapshot) {
            trusted.add("the snapshot's version " + snapshot.version() + ", strictly: no voter answers");
        }
        return new RecoveryPlan(
                phase,
                phase != Phase.WAITING,
                phase == Phase.RESTORING || phase == Phase.ALONE,
                hasFleetLostPower && phase != Phase.WAITING,
                usesSnapshot,
                trusted,
                refused,
                pending);
    }

    private void judgeSnapshot(long nowMs, long agreedVersion, List<String> trusted, List<String> refused) {
        if (snapshot == null) {
            refused.add("the snapshot: " + whyNoSnapshot);
            return;
        }
        long ageMs = Math.max(0, nowMs - snapshot.writtenAtMs());
        trusted.add("the snapshot's " + snapshot.members().size() + " members, as whom to call");
        if (agreedVersion == snapshot.version()) {
            trusted.add("the snapshot's version " + agreedVersion + ", which the voters confirm");
        } else if (agreedVersion >= 0) {
            refused.add("the snapshot's version " + snapshot.version() + " of " + ageMs + " ms ago: version "
                    + agreedVersion + " is in force");
        }
    }
}
