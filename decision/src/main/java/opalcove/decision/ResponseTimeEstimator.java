package opalcove.decision;

import java.util.Arrays;
import java.util.stream.Stream;

/**
 * Estimates response times from a moving mean of each request class and the effect of the units of a request. Owned by
 * the thread that delivers the instance's events.
 */
final class ResponseTimeEstimator {
    /** Weight of the newest response in each moving mean. */
    private static final double LEARNING_RATE = 0.02;

    private final double[] meanMs;
    private final UnitsEffect[] effects;
    private final boolean unitsAreEstimates;

    ResponseTimeEstimator(DecisionSettings settings) {
        meanMs = new double[settings.classes().size()];
        effects = Stream.generate(UnitsEffect::new).limit(meanMs.length).toArray(UnitsEffect[]::new);
        unitsAreEstimates = settings.unitsAreEstimates();
        for (int i = 0; i < meanMs.length; i++) {
            meanMs[i] = settings.classes().get(i).objectiveMs() / 6;
        }
    }

    /** The mean response time of a class, ms. */
    double meanMs(int classIndex) {
        return meanMs[classIndex];
    }

    /** The mean response time of the slowest class, ms. */
    double largestMeanMs() {
        return Arrays.stream(meanMs).max().orElse(1);
    }

    /** The expected response time of a request of this class and these units, ms. */
    double expectedMs(int classIndex, double units) {
        UnitsEffect effect = effects[classIndex];
        double usualMs = meanMs[classIndex];
        double aboveMs = effect.covariance / effect.variance * (units - effect.meanUnits);
        return Math.max(0.3 * usualMs, Math.min(5 * usualMs, usualMs + aboveMs));
    }

    /** Records the response time, ms, of a request of this class and these units. */
    void recordResponse(int classIndex, double units, double elapsedMs) {
        double aboveMs = Math.min(elapsedMs, 5 * meanMs[classIndex]) - meanMs[classIndex];
        if (!unitsAreEstimates) {
            effects[classIndex].learn(units, aboveMs);
        }
        meanMs[classIndex] += LEARNING_RATE * aboveMs;
    }

    /** Records a mean response time, ms, of requests whose units are unknown. */
    void recordMean(int classIndex, double elapsedMs) {
        meanMs[classIndex] += LEARNING_RATE * (Math.min(elapsedMs, 5 * meanMs[classIndex]) - meanMs[classIndex]);
    }

    /** The effect of a request's units on its response time in one class, by regression over recent responses. */
    private static final class UnitsEffect {
        private double meanUnits;
        private double variance = 0.01;
        private double covariance;

        void learn(double units, double aboveMeanMs) {
            if (meanUnits == 0) {
                meanUnits = units;
            }
            double difference = units - meanUnits;
            meanUnits += LEARNING_RATE * difference;
            variance += LEARNING_RATE * (difference * difference - variance);
            covariance += LEARNING_RATE * (difference * aboveMeanMs - covariance);
        }
    }
}
