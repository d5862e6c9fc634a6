package opalcove.decision;

/**
 * Recognizes the first tries of clients by their time budget, for clients need not mark their retries. It keeps votes
 * for the few budgets, as shares of the class's deadline, that are seen most often. Owned by the thread that delivers
 * the instance's events.
 */
final class ClientRetryDetector {
    private static final int CANDIDATES = 4;
    private static final double MAX_VOTES = 50;

    /** Budgets closer to each other than this share of the deadline are the same. */
    private static final double SAME_BUDGET = 0.002;

    private final double[] budgets = new double[CANDIDATES];
    private final double[] votes = new double[CANDIDATES];

    /**
     * Takes in the budget of a request, as a share of its class's deadline.
     *
     * @return whether the request is a first try: its budget is the one most often seen, not the longest
     */
    boolean recordBudget(double share) {
        int match = -1;
        int leading = 0;
        int fewest = 0;
        for (int i = 0; i < CANDIDATES; i++) {
            if (Math.abs(budgets[i] - share) < SAME_BUDGET) {
                match = i;
            }
            if (votes[i] > votes[leading]) {
                leading = i;
            }
            if (votes[i] < votes[fewest]) {
                fewest = i;
            }
        }
        if (match < 0 && votes[fewest] < 1) {
            match = fewest;
            budgets[match] = share;
        }
        int othersChange = match < 0 ? -1 : 0;
        for (int i = 0; i < CANDIDATES; i++) {
            votes[i] = Math.max(0, Math.min(MAX_VOTES, votes[i] + (i == match ? 1 : othersChange)));
        }
        return votes[leading] < 2 || Math.abs(budgets[leading] - share) < SAME_BUDGET;
    }
}
