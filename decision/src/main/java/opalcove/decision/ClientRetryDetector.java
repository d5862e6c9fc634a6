package opalcove.decision;

/**
 * Distinguishes the initial requests of clients from their retries by the time budget, because clients need not mark
 * retries. It counts votes for the few most frequent budgets, as shares of the deadline of the class. Owned by the
 * thread that delivers the instance's events.
 */
final class ClientRetryDetector {
    private static final int MAX_CANDIDATES = 4;
    private static final double MAX_VOTES = 50;

    /** Budgets that differ by less than this share of the deadline count as the same. */
    private static final double SAME_BUDGET_TOLERANCE = 0.002;

    private final double[] budgets = new double[MAX_CANDIDATES];
    private final double[] votes = new double[MAX_CANDIDATES];

    /**
     * Records the budget of a request, as a share of the deadline of its class.
     *
     * @return whether this is an initial request: its budget is the most frequent one, which need not be the longest
     */
    boolean recordBudget(double share) {
        int match = -1;
        int leading = 0;
        int fewestVotes = 0;
        for (int i = 0; i < MAX_CANDIDATES; i++) {
            if (Math.abs(budgets[i] - share) < SAME_BUDGET_TOLERANCE) {
                match = i;
            }
            if (votes[i] > votes[leading]) {
                leading = i;
            }
            if (votes[i] < votes[fewestVotes]) {
                fewestVotes = i;
            }
        }
        if (match < 0 && votes[fewestVotes] < 1) {
            match = fewestVotes;
            budgets[match] = share;
        }
        int otherVotesChange = match < 0 ? -1 : 0;
        for (int i = 0; i < MAX_CANDIDATES; i++) {
            votes[i] = Math.max(0, Math.min(MAX_VOTES, votes[i] + (i == match ? 1 : otherVotesChange)));
        }
        return votes[leading] < 2 || Math.abs(budgets[leading] - share) < SAME_BUDGET_TOLERANCE;
    }
}
