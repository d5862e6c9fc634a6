package opalcove.decision;

/** Splits capacity among weighted classes. It has no state. */
final class CapacityAllocator {
    private CapacityAllocator() {}

    /**
     * Splits capacity among classes. Each class receives its floor first, in the order of weight if the floors exceed
     * the capacity. The remaining capacity is split in proportion to sqrt(weight x demand), clamped at the maximum of
     * each class, and what exceeds a maximum is distributed again. The method follows "Harmonic Proportional Bandwidth
     * Allocation and Scheduling for Service Differentiation on Streaming Servers" (Zhou and Xu). As in that paper, the
     * weight of a class is raised if its ratio of weight to demand is below that of a class of lower weight.
     *
     * @param capacity units per second to split
     * @param weight the weight of each class; all arrays are ordered from the highest weight to the lowest
     * @param demand units per second that each class requests
     * @param floor units per second that each class receives first
     * @param max the maximum of each class, units per second
     * @return the share of each class, units per second
     */
    static double[] allocate(double capacity, double[] weight, double[] demand, double[] floor, double[] max) {
        int classes = weight.length;
        double[] allotted = new double[classes];
        double remaining = capacity;
        for (int i = 0; i < classes; i++) {
            allotted[i] = Math.min(floor[i], Math.max(0, remaining));
            remaining -= allotted[i];
        }
        distribute(remaining, allotted, roots(weight, demand), max);
        return allotted;
    }

    /**
     * Returns sqrt(weight x demand) of each class. Weights are raised so that the ratio of weight to demand of a class
     * is never below that of a class of lower weight.
     */
    private static double[] roots(double[] weight, double[] demand) {
        double[] root = new double[weight.length];
        double maxRatio = 0;
        for (int i = weight.length - 1; i >= 0; i--) {
            if (demand[i] <= 0) {
                continue;
            }
            maxRatio = Math.max(maxRatio, weight[i] / demand[i]);
            root[i] = Math.sqrt(maxRatio * demand[i] * demand[i]);
        }
        return root;
    }

    /**
     * Adds the remaining capacity to the allotments in proportion to the roots. Each round distributes what the classes
     * that reached their maximum in the round before could not use.
     */
    private static void distribute(double capacity, double[] allotted, double[] root, double[] max) {
        int classes = allotted.length;
        double remaining = capacity;
        for (int round = 0; round < classes && remaining > 1e-9; round++) {
            double sum = 0;
            for (int i = 0; i < classes; i++) {
                sum += allotted[i] < max[i] ? root[i] : 0;
            }
            if (sum <= 0) {
                break;
            }
            double distributed = remaining;
            for (int i = 0; i < classes; i++) {
                if (allotted[i] >= max[i]) {
                    continue;
                }
                double added = Math.min(max[i] - allotted[i], distributed * root[i] / sum);
                allotted[i] += added;
                remaining -= added;
            }
        }
    }
}
