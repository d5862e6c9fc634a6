package opalcove.laboratory.soak;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import opalcove.laboratory.soak.FaultShim.Call;
import opalcove.laboratory.soak.FaultShim.Errno;
import opalcove.laboratory.soak.FaultShim.Kind;
import opalcove.laboratory.soak.History.Attempt;
import opalcove.laboratory.soak.History.End;
import opalcove.laboratory.soak.History.Request;

/** One fault of the machine that lasts for a complete run, at one gateway with six backends. */
public enum FaultCase {
    NONE(),
    ACCEPT_ENFILE(Call.ACCEPT, 20, Errno.ENFILE, Kind.CLIENT),
    ACCEPT_ENOBUFS(Call.ACCEPT, 20, Errno.ENOBUFS, Kind.CLIENT),
    ACCEPT_ECONNABORTED(Call.ACCEPT, 5, Errno.ECONNABORTED, Kind.CLIENT),
    SOCKET_EMFILE(Call.SOCKET, 2, Errno.EMFILE, Kind.BACKEND),
    CONNECT_EADDRNOTAVAIL(Call.CONNECT, 2, Errno.EADDRNOTAVAIL, Kind.BACKEND),
    CONNECT_ENETUNREACH(Call.CONNECT, 2, Errno.ENETUNREACH, Kind.BACKEND),
    READ_ETIMEDOUT(Call.READ, 50, Errno.ETIMEDOUT, Kind.BACKEND),
    READ_EHOSTUNREACH(Call.READ, 50, Errno.EHOSTUNREACH, Kind.BACKEND),
    READ_SHORT(Call.READ, 2, Errno.SHORT_TRANSFER, Kind.CLIENT, Kind.BACKEND, Kind.DISCOVERY),
    WRITE_SHORT(Call.WRITE, 2, Errno.SHORT_TRANSFER, Kind.CLIENT, Kind.BACKEND, Kind.DISCOVERY),
    WAIT_EINTR(Call.WAIT, 3, Errno.EINTR, Kind.FILE),
    DISCOVERY_READ_ETIMEDOUT(Call.READ, 5, Errno.ETIMEDOUT, Kind.DISCOVERY),
    DISCOVERY_CONNECT_ENETUNREACH(Call.CONNECT, 2, Errno.ENETUNREACH, Kind.DISCOVERY),
    STOPPED_500_MS(),
    RESTARTS(),
    RESTARTS_CLOCK_AHEAD(),
    RESTARTS_CLOCK_BEHIND();

    private static final long HOUR_MS = 3_600_000;
    private static final int RESTARTED_BACKENDS = 2;
    private static final int RESTART_AFTER_MS = 3000;
    private static final int OUTAGE_MS = 300;
    private static final int SHARE_WINDOW_MS = 3000;
    private static final int STOP_MS = 500;
    private static final int STOP_INTERVAL_MS = 1500;
    private static final int BACKENDS = 6;
    private static final double REQUESTS_PER_S = 100;
    private static final double DEADLINE_SLACK_MS = 150;

    private final Call call;
    private final int oneIn;
    private final Errno errno;
    private final List<Kind> kinds;

    FaultCase() {
        this(null, 0, null);
    }

    FaultCase(Call call, int oneIn, Errno errno, Kind... kinds) {
        this.call = call;
        this.oneIn = oneIn;
        this.errno = errno;
        this.kinds = List.of(kinds);
    }

    /** Response times of served requests, ms: of all of them, and of those that were the first on their connection. */
    public record Times(double p50Ms, double p99Ms, double newP99Ms) {}

    /**
     * The result of a case.
     *
     * @param deadlineTooLong attempts whose deadline was more than 150 ms over the time that their client had remaining
     * @param restartedShare share of the attempts in the 3 s after the restart of two backends that went to these two,
     *     or NaN
     */
    public record Outcome(
            FaultCase fault,
            long hits,
            int requests,
            int served,
            Times times,
            long deadlineTooLong,
            double restartedShare,
            Set<SoakRule> broken) {
        /** Returns the result as one row of a Markdown table. */
        public String row() {
            String share = Double.isNaN(restartedShare) ? "" : Math.round(100 * restartedShare) + "%";
            return String.format(
                    Locale.ROOT,
                    "| %s | %d | %d of %d | %.0f | %.0f | %.0f | %d | %s | %s |",
                    fault,
                    hits,
                    served,
                    requests,
                    times.p50Ms(),
                    times.p99Ms(),
                    times.newP99Ms(),
                    deadlineTooLong,
                    share,
                    broken.isEmpty() ? "none" : broken);
        }

        /** Returns the header of that table. */
        public static String head() {
            return "| fault | hits | served | p50, ms | p99, ms | p99 on new connections, ms | `d` too long | to restarted"
                    + " | rules broken |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |";
        }
    }

    private boolean restarts() {
        return this == RESTARTS || this == RESTARTS_CLOCK_AHEAD || this == RESTARTS_CLOCK_BEHIND;
    }

    /** Runs the case with traffic for {@code lengthMs}. */
    public Outcome play(Soak soak, long seed, int lengthMs) throws Exception {
        SoakPlan.Setup setup = new SoakPlan.Setup(true, 1000, 6, false, true, "cell", 30_000);
        SoakPlan plan = new SoakPlan(seed, 1, BACKENDS, lengthMs, REQUESTS_PER_S, setup, List.of());
        CaseRun caseRun = new CaseRun(lengthMs);
        SoakResult result = soak.run(plan, false, caseRun);
        return caseRun.outcome(result.brokenRules());
    }

    /** Applies the case to the processes of one run. */
    private final class CaseRun implements Soak.RunActions {
        private final int lengthMs;
        private History history;
        private double restartedAt = Double.NaN;
        private long hits;

        CaseRun(int lengthMs) {
            this.lengthMs = lengthMs;
        }

        @Override
        public long clockAheadMs() {
            return switch (FaultCase.this) {
                case RESTARTS_CLOCK_AHEAD -> HOUR_MS;
                case RESTARTS_CLOCK_BEHIND -> -HOUR_MS;
                default -> 0;
            };
        }

        @Override
        public void begin(SoakCluster cluster) throws Exception {
            FaultShim shim = cluster.gateway(0).shim().orElseThrow();
            kinds.forEach(kind -> shim.fail(call, kind, oneIn, errno));
            if (FaultCase.this == STOPPED_500_MS) {
                stopRepeatedly(cluster);
            } else if (restarts()) {
                TimeUnit.MILLISECONDS.sleep(RESTART_AFTER_MS);
                for (int i = 0; i < RESTARTED_BACKENDS; i++) {
                    cluster.restartBackend(i, OUTAGE_MS);
                }
                restartedAt = cluster.clock.now();
            }
        }

        private void stopRepeatedly(SoakCluster cluster) throws InterruptedException {
            for (int i = 0; i < lengthMs / STOP_INTERVAL_MS - 1; i++) {
                TimeUnit.MILLISECONDS.sleep(STOP_INTERVAL_MS - STOP_MS);
                cluster.gateway(0).signal("STOP");
                TimeUnit.MILLISECONDS.sleep(STOP_MS);
                cluster.gateway(0).signal("CONT");
                hits++;
            }
        }

        @Override
        public void end(SoakCluster cluster) {
            FaultShim shim = cluster.gateway(0).shim().orElseThrow();
            hits += shim.clockHits();
            hits += shim.hits().values().stream().mapToLong(Long::longValue).sum();
            history = cluster.history;
        }

        Outcome outcome(Set<SoakRule> broken) {
            List<Request> served = history.requests.values().stream()
                    .filter(request -> request.end == End.SERVED)
                    .toList();
            List<Request> first =
                    served.stream().filter(request -> !request.onUsedConnection).toList();
            Times times = new Times(percentile(served, 0.5), percentile(served, 0.99), percentile(first, 0.99));
            long deadlineTooLong = history.attempts.stream()
                    .filter(FaultCase::deadlineIsTooLong)
                    .count();
            return new Outcome(
                    FaultCase.this,
                    hits,
                    history.requests.size(),
                    served.size(),
                    times,
                    deadlineTooLong,
                    restartedShare(),
                    broken);
        }

        private double restartedShare() {
            List<Attempt> after = history.attempts.stream()
                    .filter(attempt ->
                            attempt.firstByteAt >= restartedAt && attempt.firstByteAt < restartedAt + SHARE_WINDOW_MS)
                    .toList();
            long to = after.stream()
                    .filter(attempt -> attempt.backend < RESTARTED_BACKENDS)
                    .count();
            return after.isEmpty() ? Double.NaN : (double) to / after.size();
        }
    }

    private static boolean deadlineIsTooLong(Attempt attempt) {
        double remainingMs = attempt.request.deadlineMs - (attempt.firstByteAt - attempt.request.sentAt);
        return attempt.request.sentAt >= 0 && attempt.deadlineMs > Math.max(0, remainingMs) + DEADLINE_SLACK_MS;
    }

    private static double percentile(List<Request> requests, double part) {
        double[] times = requests.stream()
                .mapToDouble(request -> request.endAt - request.sentAt)
                .sorted()
                .toArray();
        return times.length == 0 ? Double.NaN : times[(int) Math.min(times.length - 1, part * times.length)];
    }
}
