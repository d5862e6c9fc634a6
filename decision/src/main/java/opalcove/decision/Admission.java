package opalcove.decision;

import java.util.List;

/**
 * What an admission gateway and its decision module say to each other. The module implements the events, the embedding
 * gateway implements {@link Actions}. Times are milliseconds of one clock that only goes forward. Types only.
 */
public interface Admission {
    /** Whether a request may run more than once. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which hosts drop repeats of a keyed request that one of them has seen. */
    enum Reach {
        ALL,
        ZONE,
        CELL
    }

    /** What the host list says of a host. */
    enum State {
        UP,
        DRAINING,
        GONE
    }

    /** How an attempt ended. */
    enum Result {
        SERVED(false),
        ERROR(false),
        TURNED_AWAY(true),
        TIMED_OUT(false),
        UNREACHABLE(true),
        BROKEN(false),
        CANCELLED(false),
        NOT_SENT(true);

        /** True where this end proves that the attempt never ran. */
        public final boolean neverRan;

        Result(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** How a call to the shared counter, or a probe, ended. */
    enum CallResult {
        DONE,
        NOT_DONE,
        UNKNOWN
    }

    /** Where load reports come from. */
    enum Reports {
        NONE,
        IN_ANSWERS,
        ON_PROBES
    }

    /** A value in a load report. */
    enum Gauge {
        IN_HAND,
        WAITING,
        BUSY_SHARE,
        SERVICE_MS,
        SERVED_PER_S,
        ERRORS_PER_S,
        UNKNOWN
    }

    /** A request class. A keyed class's repeats are dropped within windowMs of the first send that may have run. */
    record RequestClass(
            String name,
            double worth,
            double lateShare,
            double aimMs,
            double deadlineMs,
            Effect effect,
            Reach reach,
            double windowMs,
            boolean stream) {}

    /** A plan: a quota (0: none) in units a second with a burst, an open cap (0: none) and a ceiling (rate 0: none). */
    record Plan(
            String name,
            double rate,
            double burst,
            int openCap,
            double price,
            double beyondWorth,
            double beyondCost,
            double ceilingRate,
            double ceilingBurst,
            double ceilingSlack) {}

    /**
     * What the deployment allows; idleCloseMs: idle connections to hosts close after this. The last three bind the
     * gateway, not the module: how long a connection may take to come up, how many requests may be open at once, and
     * the units that a request counts at most.
     */
    record Limits(
            int maxAttempts,
            boolean secondCopies,
            boolean mayCancel,
            boolean mayProbe,
            boolean retryAfter,
            double maxRetryAfterMs,
            double idleCloseMs,
            boolean counter,
            double dialTimeoutMs,
            int maxOpen,
            double mostUnits) {
        /** Limits for a module on its own. */
        public Limits(
                int maxAttempts,
                boolean secondCopies,
                boolean mayCancel,
                boolean mayProbe,
                boolean retryAfter,
                double maxRetryAfterMs,
                double idleCloseMs,
                boolean counter) {
            this(
                    maxAttempts,
                    secondCopies,
                    mayCancel,
                    mayProbe,
                    retryAfter,
                    maxRetryAfterMs,
                    idleCloseMs,
                    counter,
                    250,
                    20_000,
                    Double.MAX_VALUE);
        }
    }

    /**
     * Figures of the cold-start rule, of final answers and of the host list. drainGraceMs: sends to a drained or
     * removed host have to stop within so long after its drain was told, ms.
     */
    record Duties(
            double answerSlackMs,
            double coldShare,
            double warmAfterMs,
            double overloadFactor,
            double overloadMs,
            boolean listOnRequest,
            double askWithinMs,
            double drainGraceMs) {
        /** The drain grace where the settings name none, ms. */
        public static final double DEFAULT_DRAIN_GRACE_MS = 1000;

        /** Duties whose settings name no drain grace. */
        public Duties(
                double answerSlackMs,
                double coldShare,
                double warmAfterMs,
                double overloadFactor,
                double overloadMs,
                boolean listOnRequest,
                double askWithinMs) {
            this(
                    answerSlackMs,
                    coldShare,
                    warmAfterMs,
                    overloadFactor,
                    overloadMs,
                    listOnRequest,
                    askWithinMs,
                    DEFAULT_DRAIN_GRACE_MS);
        }
    }

    /** Prices, as shares of the worth asked for: crossing zones, wasted work, a probe, failing late. */
    record Prices(double crossZone, double waste, double probe, double lateFail) {}

    /** Everything a module is handed at start. */
    record Settings(
            int self,
            int gateways,
            String zone,
            double tickMs,
            double meterPeriodMs,
            boolean unitsAreGuesses,
            List<RequestClass> classes,
            List<Plan> plans,
            Limits limits,
            Duties duties,
            Prices prices,
            Reports reports,
            List<Gauge> gauges) {
        /**
         * Checks that the settings do not contradict themselves.
         *
         * @throws IllegalArgumentException if they do, with the reason
         */
        public void check() {
            require(!classes.isEmpty(), "no request class");
            require(!plans.isEmpty(), "no plan");
            require(gateways > 0, "no gateway");
            for (RequestClass requestClass : classes) {
                require(Math.min(requestClass.aimMs(), requestClass.deadlineMs()) > 0, "no time");
            }
            for (Plan plan : plans) {
                double leastQuota = Math.min(plan.rate(), plan.burst());
                double leastLimit = Math.min(plan.ceilingRate(), plan.openCap());
                require(
                        Math.min(leastQuota, leastLimit) >= 0 && plan.ceilingBurst() >= 0,
                        "plan " + plan.name() + " has a figure below 0");
            }
        }

        private static void require(boolean holds, String otherwise) {
            if (!holds) throw new IllegalArgumentException(otherwise);
        }
    }

    /** A line of the host list; startedMs is 0 where the start is long ago. */
    record Host(String id, String zone, String kind, int cell, State state, double size, double startedMs) {
        /** The same host, started at that time. */
        public Host started(double ms) {
            return new Host(id, zone, kind, cell, state, size, ms);
        }

        /** The same host, started at that time at the earliest. */
        public Host startedSince(double ms) {
            return new Host(id, zone, kind, cell, state, size, Math.max(startedMs, ms));
        }
    }

    /** A client's request: budgetMs is its time to answer, gateways the number through which its customer may come. */
    record Request(
            String id,
            String requestClass,
            String plan,
            String customer,
            double units,
            double budgetMs,
            int gateways,
            boolean retry) {}

    /**
     * How an attempt ended; over: the request has its final answer; usedPercent: the customer's use of its rate over
     * all gateways in the last period told, below 0 where none is told; trueUnits: 0 where none are told; load: null
     * where no report came.
     */
    record Outcome(
            String id,
            String host,
            int attempt,
            Result result,
            double elapsedMs,
            boolean over,
            int usedPercent,
            double trueUnits,
            double[] load) {}

    /** What a module may have its gateway do. All take effect at once, in order. */
    interface Actions {
        /** Starts an attempt; attempts of a request are numbered from 0. A timeoutMs of 0 waits to the deadline. */
        void send(String id, String host, double timeoutMs);

        /** Final answer: turned away, trying again is harmless. */
        void refuse(String id, double retryAfterMs);

        /** Final answer: failed, nothing promised. */
        void fail(String id);

        /** Stops waiting for an attempt. */
        void cancel(String id, int attempt);

        /** Asks for {@link Admission#timer}. */
        void wake(long token, double afterMs);

        /** The timer with this token is no longer needed; where timers cannot be called off, it may still come. */
        default void forget(long token) {}

        /** Asks a host for a sign of life and its load. */
        void probe(String host);

        /** Asks for changes of the host list from now on. */
        void follow();

        /** Writes a line to the log. */
        void log(String line);
    }

    /** The host list: whole, or only its changed lines. */
    void hosts(double now, boolean whole, List<Host> lines);

    /** Asking for the host list failed, or following it broke off. */
    void hostsFailed(double now);

    /** A request was taken. */
    void request(double now, Request request);

    /** An attempt ended. */
    void outcome(double now, Outcome outcome);

    /**
     * Figures that came after their attempt's outcome was told, as at the end of a long value: usedPercent below 0 and
     * trueUnits 0 where none came.
     */
    void settled(double now, Request request, int usedPercent, double trueUnits);

    /** A streamed answer began: the attempt is the client's now. */
    void began(double now, String id, int attempt);

    /** The client has left, or the request is over. */
    void gone(double now, String id);

    /** A timer asked for is due. */
    void timer(double now, long token);

    /** A probe ended. */
    void probed(double now, String host, CallResult result, double elapsedMs, double[] load);
}
