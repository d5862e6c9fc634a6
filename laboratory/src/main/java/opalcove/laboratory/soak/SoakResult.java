package opalcove.laboratory.soak;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What came of one run.
 *
 * @param made the troubles that were made; a trouble of system calls is among them only if its shim has hit
 * @param ends how many requests ended in which way
 * @param maxLagMs the longest time in which the recording thread was held up, ms
 */
public record SoakResult(
        SoakPlan plan,
        List<SoakViolation> violations,
        List<Fault> made,
        Map<String, Integer> ends,
        int attempts,
        double maxLagMs) {
    /** The rules that were broken. */
    public Set<SoakRule> brokenRules() {
        Set<SoakRule> rules = new TreeSet<>();
        violations.forEach(violation -> rules.add(violation.rule()));
        return rules;
    }

    /** One line on the run, and a few of the violations of each rule. */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append("seed ").append(plan.seed()).append(": ");
        text.append(violations.isEmpty() ? "held" : "BROKEN " + brokenRules());
        text.append(" ").append(ends).append(", ").append(attempts).append(" attempts, recording late by at most ");
        text.append(Math.round(maxLagMs)).append(" ms\n");
        Map<SoakRule, Integer> notified = new TreeMap<>();
        for (SoakViolation each : violations) {
            if (notified.merge(each.rule(), 1, Integer::sum) <= 3) {
                text.append("    ").append(each).append('\n');
            }
        }
        notified.forEach((rule, count) -> {
            if (count > 3) {
                text.append("    ").append(rule).append(": ").append(count).append(" in all\n");
            }
        });
        return text.toString();
    }
}
