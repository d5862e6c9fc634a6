package opalcove.laboratory.coldstart;

/** What is played: how many gateways, by which rule, and the seeds from the first one on. */
public record SlowStartPlan(int gateways, SlowStartRule rule, long firstSeed, int seeds) {
    /** Checks the numbers. */
    public SlowStartPlan {
        if (gateways < 1 || seeds < 1) {
            throw new IllegalArgumentException("a trial needs a gateway and a seed at least");
        }
    }
}
