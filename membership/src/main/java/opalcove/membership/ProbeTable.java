package opalcove.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Table of the probes that have not been acknowledged, by sequence number, oldest first. Owned by the thread of its
 * {@link FailureDetector}.
 */
final class ProbeTable {
    private final Map<Long, Probe> probes = new LinkedHashMap<>();
    private long lastSequence;

    /** Adds a probe under a new sequence number and returns that number. */
    long add(Probe probe) {
        long sequence = nextSequence();
        probes.put(sequence, probe);
        return sequence;
    }

    /** Returns a new sequence number; alone, it serves a PING whose ACK is ignored. */
    long nextSequence() {
        return ++lastSequence;
    }

    boolean hasOwnProbeOf(String target) {
        return probes.values().stream()
                .anyMatch(probe -> !probe.isRequested() && probe.target().equals(target));
    }

    /**
     * Returns when the first of the probes times out, in ms, given the timeout of a direct ACK; Long.MAX_VALUE if there
     * are no probes.
     */
    long nextTimeoutMs(long ackTimeoutMs) {
        long nextMs = Long.MAX_VALUE;
        for (Probe probe : probes.values()) {
            nextMs = Math.min(nextMs, probe.timeoutAtMs(ackTimeoutMs));
        }
        return nextMs;
    }

    /** Calls the action for each probe in the table at the time of the call; the action may remove probes. */
    void forEach(BiConsumer<Long, Probe> action) {
        for (Map.Entry<Long, Probe> each : List.copyOf(probes.entrySet())) {
            action.accept(each.getKey(), each.getValue());
        }
    }

    void remove(long sequence) {
        probes.remove(sequence);
    }

    /**
     * Removes and returns the probe that an ACK belongs to; null if no probe has this sequence number and target.
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
