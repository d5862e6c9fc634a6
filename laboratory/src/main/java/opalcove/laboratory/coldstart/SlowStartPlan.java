package opalcove.laboratory.coldstart;

/**
 * The parameters of a trial.
 *
 * @param gateways number of gateways in the model
 * @param rule the slow-start rule of the backends
 * @param firstSeed the first seed
 * @param seeds number of consecutive seeds to run
 */
public record SlowStartPlan(int gateways, SlowStartRule rule, long firstSeed, int seeds) {
    /** @throws IllegalArgumentException if there is no gateway or no seed */
    public SlowStartPlan {
        if (gateways < 1 || seeds < 1) {
            throw new IllegalArgumentException("gateways and seeds must each be at least 1");
        }
    }
}
