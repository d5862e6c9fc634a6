package opalcove.laboratory;

/** The asks of a load, numbered from 0: which operator asks, what, and under which id. Equal numbers, equal asks. */
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

    /** An id that no other run of this machine has used of late. */
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
