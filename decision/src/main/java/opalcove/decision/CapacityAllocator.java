package opalcove.decision;

/** The mathematics of the split of capacity among weighted classes; it keeps no state. */
final class CapacityAllocator {
    private CapacityAllocator() {}

    /**
     * Splits capacity among classes: floors first (from the top where they exceed the capacity), the rest in proportion
     * to sqrt(weight x demand), clamped at each class's maximum, the excess distributed again. After "Harmonic
     * Proportional Bandwidth Allocation and Scheduling for Service Differentiation on Streaming Servers" (Zhou and Xu);
     * as there, a class's weight is raised where its weight to demand ratio falls below that of a lower class.
     *
     * @param capacity units a second to split
     * @param weight weight of each class; all arrays are ordered from the highest weight to the lowest
     * @param demand units a second that each class asks for
     * @param floor units a second that each class is granted first
     * @param max most units a second that each class may be given
     * @return units a second for each class
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
     * sqrt(weight x demand) of each class, with weights raised so that weight to demand never falls towards the top.
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

    /** Adds the rest to the allotments in proportion to the roots; each round passes on what the clamped ones left. */
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
            double distributed = rest;
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
