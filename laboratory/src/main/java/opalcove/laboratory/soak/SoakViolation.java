package opalcove.laboratory.soak;

import java.util.Locale;

/** A rule that was broken: where, when and how. */
public record SoakViolation(SoakRule rule, int gateway, double atMs, String what) {
    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s at gateway %d, %.0f ms: %s", rule, gateway, atMs, what);
    }
}
