package opalcove.metrics;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The figures that operators fetch, in the StatsD text form: {@code gateway.success.C:812|c} for a count, {@code
 * gateway.inflight:14|g} for a gauge. The event loop writes them; the admin server reads them on a thread of its own,
 * so each is atomic. Counts start at 0 with the process.
 */
public final class Metrics {
    /** How a request ended. */
    public enum RequestOutcome {
        SUCCESS("success"),
        BUSY("busy"),
        FAILURE("failure");

        private final String metricName;

        RequestOutcome(String value) {
            this.metricName = value;
        }
    }

    private static final String PREFIX = "gateway.";
    /** Guards memory against requests that name ever new classes: beyond these, an end is counted in no class. */
    static final int MAX_CLASSES = 64;
    /** The longest class name that is counted by name. */
    static final int MAX_NAME_LENGTH = 64;

    private final InvariantMonitor invariants;
    private final SystemCallFailures systemCallFailures;
    private final Map<String, AtomicLongArray> byClass = new ConcurrentHashMap<>();
    private final AtomicLong backendCalls = new AtomicLong();
    private final AtomicLong reconfigOk = new AtomicLong();
    private final AtomicLong reconfigFailed = new AtomicLong();
    private final AtomicLong connectionsClosed = new AtomicLong();
    private final AtomicLong connectionsRefused = new AtomicLong();
    private volatile int inFlight;
    private volatile int backendsListed;
    private volatile int backendsAvoided;

    /** Metrics that report no invariants and failures of their own. */
    public Metrics() {
        this(new InvariantMonitor(), new SystemCallFailures());
    }

    /** Metrics that report these invariants and failures, too. */
    public Metrics(InvariantMonitor invariants, SystemCallFailures systemCallFailures) {
        this.invariants = invariants;
        this.systemCallFailures = systemCallFailures;
    }

    /** A request of the class has ended. */
    public void requestEnded(String requestClass, RequestOutcome outcome) {
        AtomicLongArray outcomes = byClass.get(requestClass);
        if (outcomes == null) {
            if (byClass.size() >= MAX_CLASSES
                    || requestClass.length() > MAX_NAME_LENGTH
                    || !requestClass
                            .chars()
                            .allMatch(character ->
                                    character > ' ' && character < 127 && character != ':' && character != '|')) {
                return;
            }
            outcomes =
                    byClass.computeIfAbsent(requestClass, name -> new AtomicLongArray(RequestOutcome.values().length));
        }
        outcomes.incrementAndGet(outcome.ordinal());
    }

    /** An attempt was started. */
    public void backendCall() {
        backendCalls.incrementAndGet();
    }

    /** A settings file was applied at SIGHUP, or rejected. */
    public void reconfigured(boolean applied) {
        (applied ? reconfigOk : reconfigFailed).incrementAndGet();
    }

    /** A client's connection was closed for lack of descriptors: an idle one, or a new one that was not read. */
    public void connectionClosedForDescriptors(boolean isNew) {
        (isNew ? connectionsRefused : connectionsClosed).incrementAndGet();
    }

    /** Sets the number of requests that are open now. */
    public void inFlight(int open) {
        inFlight = open;
    }

    /** Sets the numbers of backends that are listed, and of those that are avoided now. */
    public void backends(int listed, int avoided) {
        backendsListed = listed;
        backendsAvoided = avoided;
    }

    /** All figures, one a line, each line ended by a line feed. */
    public String statsdLines() {
        StringBuilder text = new StringBuilder(256);
        byClass.forEach((name, outcomes) -> {
            for (RequestOutcome outcome : RequestOutcome.values()) {
                count(text, outcome.metricName + "." + name, outcomes.get(outcome.ordinal()));
            }
        });
        count(text, "backend_calls", backendCalls.get());
        gauge(text, "inflight", inFlight);
        gauge(text, "hosts_listed", backendsListed);
        gauge(text, "hosts_down", backendsAvoided);
        count(text, "reconfig_ok", reconfigOk.get());
        count(text, "reconfig_failed", reconfigFailed.get());
        count(text, "connections_closed_for_descriptors", connectionsClosed.get());
        count(text, "connections_refused_for_descriptors", connectionsRefused.get());
        invariants.appendStatsd(text, PREFIX);
        systemCallFailures.appendStatsd(text, PREFIX);
        return text.toString();
    }

    private static void count(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(':').append(value).append("|c\n");
    }

    private static void gauge(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(':').append(value).append("|g\n");
    }
}
