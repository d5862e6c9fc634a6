package opalcove.metrics;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The figures that operators fetch, in the StatsD text form: {@code gateway.success.C:812|c} for a count,
 * {@code gateway.inflight:14|g} for a gauge. The event loop writes them; the console reads them on a thread of its own,
 * so each is atomic. Counts start at 0 with the process.
 */
public final class Metrics {
    /** The ends of a request. */
    public enum RequestOutcome {
        SUCCESS("success"),
        BUSY("busy"),
        FAILURE("failure");

        private final String figure;

        RequestOutcome(String figure) {
            this.figure = figure;
        }
    }

    private static final String PREFIX = "gateway.";
    /** Guards memory against requests that name ever new classes: beyond these, an end is counted in no class. */
    static final int MOST_CLASSES = 64;
    /** The longest class name that is counted by name. */
    static final int LONGEST_NAME = 64;

    private final InvariantMonitor checks;
    private final SystemCallFailures systemCallFailures;
    private final Map<String, AtomicLongArray> byClass = new ConcurrentHashMap<>();
    private final AtomicLong backendCalls = new AtomicLong();
    private final AtomicLong reconfigOk = new AtomicLong();
    private final AtomicLong reconfigFailed = new AtomicLong();
    private final AtomicLong connectionsClosed = new AtomicLong();
    private final AtomicLong connectionsRefused = new AtomicLong();
    private volatile int inFlight;
    private volatile int hostsListed;
    private volatile int hostsDown;

    /** Figures with no checks behind them. */
    public Metrics() {
        this(new InvariantMonitor(), new SystemCallFailures());
    }

    /** Metrics that report these checks and failures, too. */
    public Metrics(InvariantMonitor checks, SystemCallFailures systemCallFailures) {
        this.checks = checks;
        this.systemCallFailures = systemCallFailures;
    }

    /** A request of the class ended so. */
    public void requestEnded(String requestClass, RequestOutcome end) {
        AtomicLongArray ends = byClass.get(requestClass);
        if (ends == null) {
            if (byClass.size() >= MOST_CLASSES
                    || requestClass.length() > LONGEST_NAME
                    || !requestClass.chars().allMatch(c -> c > ' ' && c < 127 && c != ':' && c != '|')) {
                return;
            }
            ends = byClass.computeIfAbsent(requestClass, name -> new AtomicLongArray(RequestOutcome.values().length));
        }
        ends.incrementAndGet(end.ordinal());
    }

    /** An attempt was written whole to an app node. */
    public void backendCall() {
        backendCalls.incrementAndGet();
    }

    /** A settings file was taken at SIGHUP, or turned down. */
    public void reconfigured(boolean taken) {
        (taken ? reconfigOk : reconfigFailed).incrementAndGet();
    }

    /** A client's connection was ended for want of descriptors: one at rest, or a new one that was not read. */
    public void connectionEndedForDescriptors(boolean isNew) {
        (isNew ? connectionsRefused : connectionsClosed).incrementAndGet();
    }

    /** Sets the number of requests that are open now. */
    public void inFlight(int open) {
        inFlight = open;
    }

    /** Sets the numbers of backends that are listed, and of those that are avoided now. */
    public void backends(int listed, int down) {
        hostsListed = listed;
        hostsDown = down;
    }

    /** All figures, one a line, each line ended by a line feed. */
    public String statsdLines() {
        StringBuilder text = new StringBuilder(256);
        byClass.forEach((name, ends) -> {
            for (RequestOutcome end : RequestOutcome.values()) {
                count(text, end.figure + "." + name, ends.get(end.ordinal()));
            }
        });
        count(text, "backend_calls", backendCalls.get());
        gauge(text, "inflight", inFlight);
        gauge(text, "hosts_listed", hostsListed);
        gauge(text, "hosts_down", hostsDown);
        count(text, "reconfig_ok", reconfigOk.get());
        count(text, "reconfig_failed", reconfigFailed.get());
        count(text, "connections_closed_for_descriptors", connectionsClosed.get());
        count(text, "connections_refused_for_descriptors", connectionsRefused.get());
        checks.appendStatsd(text, PREFIX);
        systemCallFailures.statsd(text, PREFIX);
        return text.toString();
    }

    private static void count(StringBuilder text, String name, long figure) {
        text.append(PREFIX).append(name).append(':').append(figure).append("|c\n");
    }

    private static void gauge(StringBuilder text, String name, long figure) {
        text.append(PREFIX).append(name).append(':').append(figure).append("|g\n");
    }
}
