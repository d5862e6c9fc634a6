package opalcove.laboratory.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Records what clients, the fault proxies before the backends and discovery observed in one run. Times are ms from the
 * run's start, by the monotonic clock. Written by one thread.
 */
final class History {
    /** How a request ended. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        /** The gateway closed the connection before the response. */
        CLOSED,
        /** The client closed the connection before the response. */
        LEFT,
        /** The gateway was killed before the response, or no gateway was listening. */
        KILLED,
        /** The connection ended within a long value, so that the client can detect that the value is truncated. */
        CUT
    }

    /** One request of a client, as the client observed it. */
    static final class Request {
        final String id;
        final SoakClass requestClass;
        final String tenant;
        final String plan;
        final int gateway;
        final int connection;
        final int deadlineMs;
        /** When its last byte was written; below 0 until then. */
        double sentAt = -1;
        /**
         * Whether its connection was used before. Only an unused connection may be closed without being read when the
         * gateway has no descriptors left.
         */
        boolean onUsedConnection;
        /** When the previous response on its connection arrived. The time spent waiting for that does not count. */
        double previousResponseAt = -1;

        End end;
        double endAt = -1;
        /** When SIGTERM was sent to the gateway that was killed before the response; below 0 if it was not sent. */
        double terminationSentAt = -1;

        String response = "";
        final List<Attempt> attempts = new ArrayList<>(2);

        Request(
                String id,
                SoakClass requestClass,
                String tenant,
                String plan,
                int gateway,
                int connection,
                int deadlineMs) {
            this.id = id;
            this.requestClass = requestClass;
            this.tenant = tenant;
            this.plan = plan;
            this.gateway = gateway;
            this.connection = connection;
            this.deadlineMs = deadlineMs;
        }

        void ended(End how, double at) {
            if (end == null) {
                end = how;
                endAt = at;
            }
        }
    }

    /** One attempt, as the fault proxy observed it on the connection to the backend. */
    static final class Attempt {
        final Request request;
        final int gateway;
        final int backend;
        final double firstByteAt;
        final double completeAt;
        final int deadlineMs;
        /**
         * When the first byte of the response was forwarded, or the connection ended; below 0 while it is in flight.
         */
        double endedAt = -1;

        boolean rejected;

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "[backend %d, sent %.0f, d=%d, ended %.0f%s]",
                    backend,
                    firstByteAt,
                    deadlineMs,
                    endedAt,
                    rejected ? ", rejected" : "");
        }

        Attempt(Request request, int gateway, int backend, double firstByteAt, double completeAt, int deadlineMs) {
            this.request = request;
            this.gateway = gateway;
            this.backend = backend;
            this.firstByteAt = firstByteAt;
            this.completeAt = completeAt;
            this.deadlineMs = deadlineMs;
        }
    }

    /**
     * A change of a backend in the list: from then on it takes no new work, or takes work, for example as newly
     * started.
     */
    static final class Change {
        final int backend;
        final boolean takesWork;
        final double at;
        /** When each gateway counts as notified of the change; below 0 while it does not. */
        final double[] notifiedAt;

        Change(int backend, boolean takesWork, double at, int gateways) {
            this.backend = backend;
            this.takesWork = takesWork;
            this.at = at;
            notifiedAt = new double[gateways];
            java.util.Arrays.fill(notifiedAt, -1);
        }
    }

    /** A client that stopped in the middle of a request on a connection. */
    static final class Stall {
        final int gateway;
        final double at;
        /** The earlier request on the same connection, whose response comes first, or null. */
        final Request before;

        double endedAt = -1;

        Stall(int gateway, double at, Request before) {
            this.gateway = gateway;
            this.at = at;
            this.before = before;
        }
    }

    /** A time span in which the recording thread was stalled. Times that it recorded then may be late by as much. */
    private record Lag(double at, double ms) {}

    final Map<String, Request> requests = new LinkedHashMap<>();
    final List<Attempt> attempts = new ArrayList<>();
    final List<Change> changes = new ArrayList<>();
    final List<Stall> stalls = new ArrayList<>();
    /** The times of the restarts of each backend. */
    final Map<Integer, List<Double>> starts = new HashMap<>();
    /** Violations that were found by the observers of the processes rather than by the oracle. */
    final List<SoakViolation> processViolations = new ArrayList<>();

    private final List<Lag> lags = new ArrayList<>();

    void lag(double at, double ms) {
        lags.add(new Lag(at, ms));
    }

    /** Returns how late the times recorded around {@code at} may be, ms. */
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
