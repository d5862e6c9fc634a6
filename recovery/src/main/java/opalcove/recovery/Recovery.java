package opalcove.recovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Controls the recovery of a gateway after its start. It decides which parts of the snapshot to trust, given the reports
 * of the voters and the other gateways, whether the complete fleet lost power, and when to accept clients. It does no
 * I/O and reads no clock: the host passes the time in, in Unix ms that never decrease. Not thread-safe; owned by one
 * thread of its host.
 */
public final class Recovery {
    /**
     * The phase of the recovery. The constants' names are also the phases' names in events and in the output of commands.
     */
    public enum Phase {
        /** Waits for the voters and the members in the snapshot; clients are not accepted yet. */
        WAITING(0),
        /** No voter responded in time: the gateway uses the configuration of its snapshot, in strict mode. */
        ALONE(1),
        /** Bursts are restricted for a limited time, since the fleet lost power or no voter responded in time. */
        RESTORING(2),
        /** The recovery is complete and no restriction applies. */
        FULL(3);

        private final int code;

        Phase(int code) {
            this.code = code;
        }

        /** Returns the phase's number in the metric {@code recovery.phase}. */
        public int code() {
            return code;
        }
    }

    private final long startedAtMs;
    private final Snapshot snapshot;
    private final String noSnapshotReason;
    private final RecoveryConfig config;
    private Phase phase = Phase.WAITING;
    private boolean hasFleetLostPower;
    private long readyAtMs;

    /**
     * Creates a recovery that starts at the given time.
     *
     * @param startedAtMs the time of the start, Unix ms
     * @param snapshot the snapshot; null if none can be used
     * @param noSnapshotReason why no snapshot can be used; empty if there is one
     */
    public Recovery(long startedAtMs, Snapshot snapshot, String noSnapshotReason, RecoveryConfig config) {
        this.startedAtMs = startedAtMs;
        this.snapshot = snapshot;
        this.noSnapshotReason = noSnapshotReason;
        this.config = config;
    }

    /** Returns the current phase. */
    public Phase phase() {
        return phase;
    }

    /**
     * Enters the phase that is due and returns the plan for it.
     *
     * @param nowMs the current time, Unix ms
     * @param agreedVersion the version in force as reported by the voters; below 0 while no voter has responded
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
        if (phase == Phase.RESTORING && nowMs >= readyAtMs + config.burstRestrictionMs()) {
            phase = Phase.FULL;
        }
        return describe(nowMs, agreedVersion, incarnations.size());
    }

    /**
     * Returns the time in Unix ms at which the plan may change without a report from a voter or gateway; Long.MAX_VALUE if
     * there is none.
     */
    public long nextChangeMs() {
        return switch (phase) {
            case WAITING -> startedAtMs + config.membersTimeoutMs();
            case RESTORING -> readyAtMs + config.burstRestrictionMs();
            case ALONE, FULL -> Long.MAX_VALUE;
        };
    }

    private void enter(Phase next, long nowMs) {
        phase = next;
        readyAtMs = nowMs;
    }

    /** Whether enough members are present to determine whether the fleet lost power. */
    private boolean haveMembersJoined(Map<String, Long> incarnations) {
        if (snapshot == null) {
            return incarnations.values().stream().anyMatch(this::isOlderThanOutage);
        }
        long present = snapshot.members().stream()
                .filter(each -> incarnations.containsKey(each.name()))
                .count();
        return 2 * present >= snapshot.members().size();
    }

    /**
     * Whether a process with this incarnation started before the outage, so that it did not lose power together with this
     * gateway.
     */
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
        describeSnapshot(nowMs, agreedVersion, trusted, refused);
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

    private void describeSnapshot(long nowMs, long agreedVersion, List<String> trusted, List<String> refused) {
        if (snapshot == null) {
            refused.add("the snapshot: " + noSnapshotReason);
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
