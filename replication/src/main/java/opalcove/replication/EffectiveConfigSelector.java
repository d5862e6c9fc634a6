package opalcove.replication;

import opalcove.config.ReplicatedConfig.EffectiveConfig;
import opalcove.configlease.LeaseState;
import opalcove.decision.DecisionSettings;
import opalcove.recovery.RecoveryPlan;

/**
 * Selects the configuration in effect. With a valid lease it is the complete version that the gateway holds; without
 * one it is only the part that cannot conflict with another version. Owned by the event loop of its {@link
 * ReplicatedConfigService}.
 */
final class EffectiveConfigSelector {
    /**
     * The result of a selection.
     *
     * @param effective the configuration in effect now
     * @param onExpiry the configuration in effect as soon as the lease has expired
     */
    record Selection(EffectiveConfig effective, EffectiveConfig onExpiry) {}

    private final DecisionSettings ownSettings;
    private ConfigDocument held;
    private ConfigDocument previous;
    private long backendsWithheldUntilMs;

    EffectiveConfigSelector(DecisionSettings ownSettings) {
        this.ownSettings = ownSettings;
    }

    /** Adopts the document of a newer version. */
    void adopt(String text) {
        previous = held;
        held = ConfigDocument.read(text).forGateway(ownSettings);
    }

    /**
     * Excludes all backends until the given time, unless the lease is renewed. The time is in ms of the clock that is
     * passed to {@link #select}.
     */
    void withholdBackendsUntil(long untilMs) {
        backendsWithheldUntilMs = untilMs;
    }

    /** Selects the configuration by the lease and the recovery; recovery is null if no snapshot file is configured. */
    Selection select(LeaseState lease, RecoveryTracker recovery, long nowMs) {
        RecoveryPlan plan = recovery == null ? null : recovery.plan();
        long startedNotBeforeMs = plan != null && plan.areBackendsWarmingUp() ? recovery.startedAtMs() : 0;
        ConfigDocument base = held != null ? held : new ConfigDocument(ownSettings, null);
        boolean isStrict = lease.version() > 0 && lease.mode() != LeaseState.Mode.FULL;
        if (lease.version() == 0 && plan != null && plan.usesSnapshot()) {
            base = ConfigDocument.read(recovery.snapshot().text()).forGateway(ownSettings);
            isStrict = true;
        }
        ConfigDocument strict = base.strict(previous == null ? base : previous);
        if (plan != null && plan.areBurstsRestricted()) {
            base = base.withBurstShares();
            strict = strict.withBurstShares();
        }
        // A version that this gateway did not receive may have drained any backend, so no backend gets requests right
        // after the lease has expired.
        EffectiveConfig onExpiry = effective(lease.version(), strict.withoutBackends(), true, startedNotBeforeMs);
        if (!isStrict) {
            return new Selection(effective(lease.version(), base, false, startedNotBeforeMs), onExpiry);
        }
        return new Selection(
                nowMs < backendsWithheldUntilMs
                        ? onExpiry
                        : effective(lease.version(), strict, true, startedNotBeforeMs),
                onExpiry);
    }

    private static EffectiveConfig effective(
            long version, ConfigDocument document, boolean isStrict, long startedNotBeforeMs) {
        return new EffectiveConfig(version, document.settings(), document.backends(), isStrict, startedNotBeforeMs);
    }
}
