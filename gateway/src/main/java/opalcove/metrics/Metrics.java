package opalcove.metrics;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The metrics that administrators fetch with STATS, in StatsD text format: {@code gateway.success.C:812|c} is a
 * counter, {@code gateway.inflight:14|g} is a gauge. The event loop writes them and the admin server reads them on its
 * own thread, so each one is atomic. Counters start at 0 with the process.
 */
public final class Metrics {
    /** The outcome of a request. */
    public enum RequestOutcome {
        SUCCESS("success"),
        BUSY("busy"),
        FAILURE("failure");

        private final String metricName;

        RequestOutcome(String metricName) {
            this.metricName = metricName;
        }
    }

    private static final String PREFIX = "gateway.";
    /**
     * Limits the memory that requests with ever new class names can use; outcomes of further classes are not counted.
     */
    static final int MAX_CLASSES = 64;
    /** The length of the longest class name whose outcomes are counted. */
    static final int MAX_NAME_LENGTH = 64;

    private final InvariantMonitor invariants;
    private final SystemCallFailures systemCallFailures;
    private final Map<String, AtomicLongArray> outcomesByClass = new ConcurrentHashMap<>();
    private final AtomicLong backendCalls = new AtomicLong();
    private final AtomicLong reconfigOk = new AtomicLong();
    private final AtomicLong reconfigFailed = new AtomicLong();
    private final AtomicLong connectionsClosed = new AtomicLong();
    private final AtomicLong connectionsRefused = new AtomicLong();
    private volatile int inFlight;
    private volatile int backendsListed;
    private volatile int backendsAvoided;

    /** Creates metrics whose invariant and failure counts stay 0, because no other object has access to them. */
    public Metrics() {
        this(new InvariantMonitor(), new SystemCallFailures());
    }

    /** Creates metrics that also report these invariants and failures. */
    public Metrics(InvariantMonitor invariants, SystemCallFailures systemCallFailures) {
        this.invariants = invariants;
        this.systemCallFailures = systemCallFailures;
    }

    /** Counts the outcome of a request of this class. */
    public void requestEnded(String requestClass, RequestOutcome outcome) {
        AtomicLongArray outcomes = outcomesByClass.get(requestClass);
        if (outcomes == null) {
            if (outcomesByClass.size() >= MAX_CLASSES
                    || requestClass.length() > MAX_NAME_LENGTH
                    || !requestClass
                            .chars()
                            .allMatch(character ->
                                    character > ' ' && character < 127 && character != ':' && character != '|')) {
                return;
            }
            outcomes = outcomesByClass.computeIfAbsent(
                    requestClass, name -> new AtomicLongArray(RequestOutcome.values().length));
        }
        outcomes.incrementAndGet(outcome.ordinal());
    }

    /** Counts an attempt that was started. */
    public void backendCall() {
        backendCalls.incrementAndGet();
    }

    /** Counts a settings file that was applied or rejected at SIGHUP. */
    public void reconfigured(boolean applied) {
        (applied ? reconfigOk : reconfigFailed).incrementAndGet();
    }

    /**
     * Counts a client connection that was closed for lack of descriptors: an idle one, or a new one that was not read.
     */
    public void connectionClosedForDescriptors(boolean isNew) {
        (isNew ? connectionsRefused : connectionsClosed).incrementAndGet();
    }

    /** Sets the number of open requests. */
    public void inFlight(int open) {
        inFlight = open;
    }

    /** Sets the number of listed backends and the number of those that are currently avoided. */
    public void backends(int listed, int avoided) {
        backendsListed = listed;
        backendsAvoided = avoided;
    }

    /** Returns all metrics, one per line, each ended by a line feed. */
    public String statsdLines() {
        StringBuilder text = new StringBuilder(256);
        outcomesByClass.forEach((name, outcomes) -> {
            for (RequestOutcome outcome : RequestOutcome.values()) {
                appendCounter(text, outcome.metricName + "." + name, outcomes.get(outcome.ordinal()));
            }
        });
        appendCounter(text, "backend_calls", backendCalls.get());
        appendGauge(text, "inflight", inFlight);
        appendGauge(text, "hosts_listed", backendsListed);
        appendGauge(text, "hosts_down", backendsAvoided);
        appendCounter(text, "reconfig_ok", reconfigOk.get());
        appendCounter(text, "reconfig_failed", reconfigFailed.get());
        appendCounter(text, "connections_closed_for_descriptors", connectionsClosed.get());
        appendCounter(text, "connections_refused_for_descriptors", connectionsRefused.get());
        invariants.appendStatsd(text, PREFIX);
        systemCallFailures.appendStatsd(text, PREFIX);
        return text.toString();
    }

    private static void appendCounter(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(':').append(value).append("|c\n");
    }

    private static void appendGauge(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(':').append(value).append("|g\n");
    }
}
