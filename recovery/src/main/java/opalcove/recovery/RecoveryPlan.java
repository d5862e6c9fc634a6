package opalcove.recovery;

import java.util.List;

/**
 * How a gateway operates in the current phase of its recovery after a start.
 *
 * @param phase the phase of the recovery
 * @param isReady whether clients may be accepted
 * @param areBurstsRestricted whether each burst is limited to this gateway's share
 * @param areBackendsWarmingUp whether every backend is treated as if it had started together with the gateway
 * @param usesSnapshot whether the configuration in the snapshot is used, in strict mode
 * @param trusted the parts of the snapshot that are trusted, each with the reason
 * @param refused the parts of the snapshot that are not trusted, each with the reason
 * @param pending the reports that are awaited
 */
public record RecoveryPlan(
        Recovery.Phase phase,
        boolean isReady,
        boolean areBurstsRestricted,
        boolean areBackendsWarmingUp,
        boolean usesSnapshot,
        List<String> trusted,
        List<String> refused,
        List<String> pending) {}
