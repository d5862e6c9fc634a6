package opalcove.laboratory.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What clients, the connections to backends and discovery saw in one run. Times are ms from the run's start, by the monotonic
 * clock. Written by one thread.
 */
final class History {
    /** How the answer to a request came out. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        /** Its connection ended first, by the gateway. */
        CLOSED,
        /** The client closed its connection. */
        LEFT,
        /** Its gateway was killed, or was being ended when it was due. */
        KILLED,
        /** A long value was cut: its client can tell. */
        CUT
    }

    /** One request of a client. */
    static final class Request {
        final String id;
        final SoakClass requestClass;
        final String customer;
        final String plan;
        final int gateway;
        final int connection;
        final int waitMs;
        /** When its last byte was written; below 0 while it was not. */
        double sentAt = -1;
        /** Its connection was used before, so it is not one that may be shut unread for want of descriptors. */
        boolean onUsedConnection;
        /** When the answer before it on its connection came: the time spent waiting for that does not count. */
        double turnAt = -1;

        End end;
        double endAt = -1;
        /** When the gateway that was killed before it answered had been sent a SIGTERM; below 0 if it was not. */
        double terminationSentAt = -1;

        String answer = "";
        final List<Attempt> attempts = new ArrayList<>(2);

        Request(
                String id,
                SoakClass requestClass,
                String customer,
                String plan,
                int gateway,
                int connection,
                int waitMs) {
            this.id = id;
            this.requestClass = requestClass;
            this.customer = customer;
            this.plan = plan;
            this.gateway = gateway;
            this.connection = connection;
            this.waitMs = waitMs;
        }

        void ended(End how, double at) {
            if (end == null) {
                end = how;
                endAt = at;
            }
        }
    }

    /** One attempt, as the fault proxy saw it on the connection to the backend. */
    static final class Attempt {
        final Request request;
        final int gateway;
        final int backend;
        final double firstByteAt;
        final double wholeAt;
        final int waitMs;
        /** When the first byte of a reply was passed on, or the connection ended; below 0 while it is out. */
        double overAt = -1;

        boolean rejected;

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "[backend %d, sent %.0f, d=%d, over %.0f%s]",
                    backend,
                    firstByteAt,
                    waitMs,
                    overAt,
                    rejected ? ", turned away" : "");
        }

        Attempt(Request request, int gateway, int backend, double firstByteAt, double wholeAt, int waitMs) {
            this.request = request;
            this.gateway = gateway;
            this.backend = backend;
            this.firstByteAt = firstByteAt;
            this.wholeAt = wholeAt;
            this.waitMs = waitMs;
        }
    }

    /** A time in which a backend takes no new work, or one in which it is newly started. */
    static final class Change {
        final int backend;
        final boolean takesWork;
        final double at;
        /** By gateway: when it counts as told; below 0 while it does not. */
        final double[] notifiedAt;

        Change(int backend, boolean takesWork, double at, int gateways) {
            this.backend = backend;
            this.takesWork = takesWork;
            this.at = at;
            notifiedAt = new double[gateways];
            java.util.Arrays.fill(notifiedAt, -1);
        }
    }

    /** A connection whose client stopped in the middle of a request. */
    static final class Stall {
        final int gateway;
        final double at;
        /** The request before it on its connection, or null: its answer comes first. */
        final Request before;

        double endedAt = -1;

        Stall(int gateway, double at, Request before) {
            this.gateway = gateway;
            this.at = at;
            this.before = before;
        }
    }

    /** A span of time in which the recording thread read nothing: what it saw then may be late by as much. */
    private record Lag(double at, double ms) {}

    final Map<String, Request> requests = new LinkedHashMap<>();
    final List<Attempt> attempts = new ArrayList<>();
    final List<Change> changes = new ArrayList<>();
    final List<Stall> stalls = new ArrayList<>();
    /** By backend: when it was started anew. */
    final Map<Integer, List<Double>> starts = new HashMap<>();
    /** What processes did that no process may do, as told by who watches them. */
    final List<SoakViolation> processViolations = new ArrayList<>();

    private final List<Lag> lags = new ArrayList<>();

    void lag(double at, double ms) {
        lags.add(new Lag(at, ms));
    }

    /** How late what was recorded around this time may be, ms. */
    double lagAround(double at) {
        double max = 0;
        for (Lag each : lags) {
            if (at > each.at - each.ms - 20 && at < each.at + 20) {
                max = Math.max(max, each.ms);
            }
        }
        return max;
    }

    double maxLag() {
        return lags.stream().mapToDouble(Lag::ms).max().orElse(0);
    }
}
