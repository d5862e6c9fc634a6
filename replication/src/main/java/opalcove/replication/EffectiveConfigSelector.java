package opalcove.replication;

import opalcove.config.ReplicatedConfig.EffectiveConfig;
import opalcove.configlease.LeaseState;
import opalcove.decision.DecisionSettings;
import opalcove.recovery.RecoveryPlan;

/**
 * Selects what the gateway acts on: the version held, all of it under a lease, else only what cannot conflict with
 * another version. Owned by the event loop of its {@link ReplicatedConfigService}.
 */
final class EffectiveConfigSelector {
    /**
     * A selection.
     *
     * @param effective what to act on now
     * @param onExpiry what to act on as soon as the lease has expired
     */
    record Selection(EffectiveConfig effective, EffectiveConfig onExpiry) {}

    private final DecisionSettings ownSettings;
    private ConfigDocument held;
    private ConfigDocument previous;
    private long closedUntilMs;

    EffectiveConfigSelector(DecisionSettings ownSettings) {
        this.ownSettings = ownSettings;
    }

    /** Takes over the document of a newer version. */
    void adopt(String text) {
        previous = held;
        held = ConfigDocument.read(text).forGateway(ownSettings);
    }

    /**
     * Sends nothing to any backend until then, unless the lease is renewed; in ms of the clock that {@link #select}
     * gets.
     */
    void closeUntil(long untilMs) {
        closedUntilMs = untilMs;
    }

    /** Selects by the lease and, if there is one, by the recovery; plan is null without a recovery. */
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
            base = base.withHeldBursts();
            strict = strict.withHeldBursts();
        }
        // A version that this gateway did not receive may have drained any backend: at first an expired lease sends
        // nothing to any.
        EffectiveConfig onExpiry = effective(lease.version(), strict.withoutBackends(), true, startedNotBeforeMs);
        if (!isStrict) {
            return new Selection(effective(lease.version(), base, false, startedNotBeforeMs), onExpiry);
        }
        return new Selection(
                nowMs < closedUntilMs ? onExpiry : effective(lease.version(), strict, true, startedNotBeforeMs),
                onExpiry);
    }

    private static EffectiveConfig effective(
            long version, ConfigDocument document, boolean isStrict, long startedNotBeforeMs) {
        return new EffectiveConfig(version, document.settings(), document.backends(), isStrict, startedNotBeforeMs);
    }
}
