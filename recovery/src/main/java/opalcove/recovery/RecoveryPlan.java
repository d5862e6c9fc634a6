package opalcove.recovery;

import java.util.List;

/**
 * What a gateway does now, in its recovery after a start.
 *
 * @param phase the phase of the recovery
 * @param isReady whether clients may be accepted
 * @param areQuotasHeld whether each burst is cut to this gateway's share
 * @param areBackendsWarmingUp whether every backend counts as started at the gateway's start
 * @param usesSnapshot whether the snapshot's version is acted on, strictly
 * @param trusted what is trusted and why, a line each
 * @param refused what is not trusted and why, a line each
 * @param pending what is still to be found out, a line each
 */
public record RecoveryPlan(
        Recovery.Phase phase,
        boolean isReady,
        boolean areQuotasHeld,
        boolean areBackendsWarmingUp,
        boolean usesSnapshot,
        List<String> trusted,
        List<String> refused,
        List<String> pending) {}
