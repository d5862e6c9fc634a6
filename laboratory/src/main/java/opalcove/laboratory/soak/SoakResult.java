package opalcove.laboratory.soak;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The result of one run.
 *
 * @param made the faults that were injected; a fault of system calls is among them only if its shim has hit
 * @param ends the number of requests by how they ended
 * @param maxLagMs the longest time for which the recording thread was stalled, ms
 */
public record SoakResult(
        SoakPlan plan,
        List<SoakViolation> violations,
        List<Fault> made,
        Map<String, Integer> ends,
        int attempts,
        double maxLagMs) {
    /** Returns the rules that were broken. */
    public Set<SoakRule> brokenRules() {
        Set<SoakRule> rules = new TreeSet<>();
        violations.forEach(violation -> rules.add(violation.rule()));
        return rules;
    }

    /** Returns one line about the run, and up to three violations of each rule. */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append("seed ").append(plan.seed()).append(": ");
        text.append(violations.isEmpty() ? "held" : "BROKEN " + brokenRules());
        text.append(" ").append(ends).append(", ").append(attempts).append(" attempts, recording late by at most ");
        text.append(Math.round(maxLagMs)).append(" ms\n");
        Map<SoakRule, Integer> counts = new TreeMap<>();
        for (SoakViolation each : violations) {
            if (counts.merge(each.rule(), 1, Integer::sum) <= 3) {
                text.append("    ").append(each).append('\n');
            }
        }
        counts.forEach((rule, count) -> {
            if (count > 3) {
                text.append("    ").append(rule).append(": ").append(count).append(" in total\n");
            }
        });
        return text.toString();
    }
}
