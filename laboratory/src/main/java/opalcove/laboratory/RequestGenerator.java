package opalcove.laboratory;

/**
 * Generates the requests of a load by their number, counted from 0: tenant, class, key and id. Equal numbers give
 * equal requests.
 */
final class RequestGenerator {
    private final LoadPlan plan;
    private final long base = System.nanoTime() << 24;

    RequestGenerator(LoadPlan plan) {
        this.plan = plan;
    }

    boolean record(long number) {
        return Math.floor((number + 1) * plan.records()) > Math.floor(number * plan.records());
    }

    String tenant(long number) {
        return hex(number % plan.tenants());
    }

    /** Returns an id that no other recent run on this machine has used. */
    String id(long number) {
        return hex(base + number);
    }

    String key(long number) {
        return hex(number * 0x9E3779B97F4A7C15L);
    }

    String proposedPlan(long number) {
        return number % plan.tenants() % 2 == 0 ? "start" : "flotte";
    }

    byte[] body() {
        return "b".repeat(plan.bodyBytes()).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    }

    int waitMs() {
        return plan.waitMs();
    }

    private static String hex(long value) {
        char[] digits = new char[16];
        for (int i = 15; i >= 0; i--, value >>>= 4) {
            digits[i] = Character.forDigit((int) (value & 15), 16);
        }
        return new String(digits);
    }
}
