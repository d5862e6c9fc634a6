package opalcove.replication;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import opalcove.config.Clock;
import opalcove.config.InvalidConfigurationException;
import opalcove.configlease.ConfigLease;
import opalcove.membership.Member;
import opalcove.recovery.Recovery;
import opalcove.recovery.RecoveryConfig;
import opalcove.recovery.RecoveryPlan;
import opalcove.recovery.Snapshot;
import org.tinylog.Logger;

/**
 * Tracks the recovery of this process after its start. The recovery begins with the snapshot file of the previous
 * process, which this process later replaces by its own. Owned by the event loop of its {@link
 * ReplicatedConfigService}.
 */
final class RecoveryTracker {
    private final String gateway;
    private final Path file;
    /** Advances with the monotonic clock, so that a step of the wall clock neither delays nor skips the recovery. */
    private final Clock clock = new Clock();

    private final long startedAtMs = (long) clock.now();
    private final Snapshot snapshot;
    private final Recovery recovery;
    private RecoveryPlan plan;

    /** Starts the recovery from the snapshot in the file, if it can be read. */
    RecoveryTracker(String gateway, Path file, long meterPeriodMs) {
        this.gateway = gateway;
        this.file = file;
        Snapshot loaded = null;
        String whyNoSnapshot = "";
        try {
            loaded = SnapshotFile.read(file, gateway);
        } catch (IOException | InvalidConfigurationException e) {
            whyNoSnapshot = e.getMessage();
            Logger.warn("recovery: snapshot rejected: {}", whyNoSnapshot);
        }
        snapshot = loaded;
        recovery = new Recovery(startedAtMs, loaded, whyNoSnapshot, RecoveryConfig.of(meterPeriodMs));
    }

    /** Returns the time at which this process started, in Unix ms. */
    long startedAtMs() {
        return startedAtMs;
    }

    /** Returns the members in the snapshot, all in the state ALIVE. */
    List<Member> knownMembers() {
        return snapshot == null
                ? List.of()
                : snapshot.members().stream()
                        .map(each -> new Member(each.name(), each.address(), each.incarnation(), Member.State.ALIVE))
                        .toList();
    }

    /** Returns the snapshot that this process started from; null if there is no valid one. */
    Snapshot snapshot() {
        return snapshot;
    }

    /** Returns the age of the snapshot at the start of the process, in ms; -1 without a snapshot. */
    long snapshotAgeMs() {
        return snapshot == null ? -1 : Math.max(0, startedAtMs - snapshot.writtenAtMs());
    }

    /** Returns the current plan; null before the first {@link #advance}. */
    RecoveryPlan plan() {
        return plan;
    }

    boolean isReady() {
        return plan != null && plan.isReady();
    }

    /** Updates the plan. Returns whether its phase has changed. */
    boolean advance(ConfigLease lease, List<Member> members) {
        Map<String, Long> incarnations = new HashMap<>();
        members.stream()
                .filter(each -> !each.name().equals(gateway))
                .forEach(each -> incarnations.put(each.name(), each.incarnation()));
        RecoveryPlan before = plan;
        plan = recovery.plan(
                (long) clock.now(), lease.hasResponse() ? lease.state().version() : -1, incarnations);
        return before == null || before.phase() != plan.phase();
    }

    /** Returns a snapshot of this gateway's current state. */
    Snapshot currentSnapshot(boolean isClean, ConfigLease lease, List<Member> members) {
        return new Snapshot(
                gateway,
                System.currentTimeMillis(),
                startedAtMs,
                isClean,
                lease.state().version(),
                lease.text(),
                members.stream()
                        .filter(each -> !each.name().equals(gateway))
                        .map(each -> new Snapshot.Peer(each.name(), each.address(), each.incarnation()))
                        .toList());
    }

    /** Writes a snapshot to the file. Blocks. */
    void write(Snapshot current) throws IOException {
        SnapshotFile.write(file, current);
    }
}
