package opalcove.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * The probes without an answer so far, by sequence number, oldest first. Owned by the thread of its {@link
 * FailureDetector}.
 */
final class ProbeTable {
    private final Map<Long, Probe> probes = new LinkedHashMap<>();
    private long lastSequence;

    /** Adds a probe under a new sequence number, which is returned. */
    long add(Probe probe) {
        long sequence = nextSequence();
        probes.put(sequence, probe);
        return sequence;
    }

    /** A sequence number for a PING whose answer is not awaited. */
    long nextSequence() {
        return ++lastSequence;
    }

    boolean hasOwnProbeOf(String target) {
        return probes.values().stream()
                .anyMatch(probe -> !probe.isRequested() && probe.target().equals(target));
    }

    /**
     * When the first of the probes times out, in ms, for a timeout of a direct answer; Long.MAX_VALUE without probes.
     */
    long nextTimeoutMs(long ackTimeoutMs) {
        long nextMs = Long.MAX_VALUE;
        for (Probe probe : probes.values()) {
            nextMs = Math.min(nextMs, probe.timeoutAtMs(ackTimeoutMs));
        }
        return nextMs;
    }

    /** Calls the action for each of the probes there are now; it may remove them. */
    void forEach(BiConsumer<Long, Probe> action) {
        for (Map.Entry<Long, Probe> each : List.copyOf(probes.entrySet())) {
            action.accept(each.getKey(), each.getValue());
        }
    }

    void remove(long sequence) {
        probes.remove(sequence);
    }

    /**
     * Removes the probe that an ACK answers and returns it; null if there is none of that sequence number and target.
     */
    Probe removeAcknowledged(long sequence, String target) {
        Probe probe = probes.get(sequence);
        if (probe == null || !probe.target().equals(target)) {
            return null;
        }
        return probes.remove(sequence);
    }

    void countNack(long sequence) {
        Probe probe = probes.get(sequence);
        if (probe != null) {
            probe.countNack();
        }
    }

    void clear() {
        probes.clear();
    }
}
