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
 * This process's recovery after its start, from the snapshot file of its predecessor to its own. Owned by the event
 * loop of its {@link ReplicatedConfigService}.
 */
final class RecoveryTracker {
    private final String gateway;
    private final Path file;
    /** Follows the monotonic clock: a step of the wall clock neither delays the recovery nor skips it. */
    private final Clock clock = new Clock();

    private final long startedAtMs = (long) clock.now();
    private final Snapshot snapshot;
    private final Recovery recovery;
    private RecoveryPlan plan;

    /** Starts from the snapshot in that file, if it can be read. */
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

    /** When this process started, in Unix ms. */
    long startedAtMs() {
        return startedAtMs;
    }

    /** The members in the snapshot, taken as alive. */
    List<Member> knownMembers() {
        return snapshot == null
                ? List.of()
                : snapshot.members().stream()
                        .map(each -> new Member(each.name(), each.address(), each.incarnation(), Member.State.ALIVE))
                        .toList();
    }

    /** The snapshot that this process started from; null if there is none that can be used. */
    Snapshot snapshot() {
        return snapshot;
    }

    /** How old the snapshot was at the start, in ms; -1 without a snapshot. */
    long snapshotAgeMs() {
        return snapshot == null ? -1 : Math.max(0, startedAtMs - snapshot.writtenAtMs());
    }

    /** What to do now; null before the first {@link #advance}. */
    RecoveryPlan plan() {
        return plan;
    }

    boolean isReady() {
        return plan != null && plan.isReady();
    }

    /** Updates the plan; true if it is in another phase than before. */
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

    /** What this gateway knows now. */
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

    /** Writes a snapshot; blocks. */
    void write(Snapshot current) throws IOException {
        SnapshotFile.write(file, current);
    }
}
