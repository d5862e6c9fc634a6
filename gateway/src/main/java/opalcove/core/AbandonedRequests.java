package opalcove.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The ids of requests whose clients disconnected after an attempt that a backend may have executed, oldest first. Their
 * outcome is not known, so a request that comes with such an id again may be a repeat. Used on the event loop only.
 */
final class AbandonedRequests {
    /** How long an id is kept: longer than any attempt can take that was cancelled when its client disconnected. */
    private static final double RETENTION_MS = TimeUnit.SECONDS.toMillis(60);
    /** Guards memory against clients that send requests and disconnect, again and again. */
    private static final int MAX_IDS = 8192;

    /** When each was abandoned, by the clock, ms. */
    private final Map<String, Double> abandonedAtMs = new LinkedHashMap<>();

    /** Adds the id of a request whose client has disconnected now. */
    void add(String id, double nowMs) {
        abandonedAtMs.remove(id);
        abandonedAtMs.put(id, nowMs);
        Iterator<Double> oldest = abandonedAtMs.values().iterator();
        while (oldest.hasNext() && (oldest.next() < nowMs - RETENTION_MS || abandonedAtMs.size() > MAX_IDS)) {
            oldest.remove();
        }
    }

    /** Forgets a request that no backend can have executed. */
    void remove(String id) {
        abandonedAtMs.remove(id);
    }

    /** Whether the client of a request with this id disconnected not long ago. */
    boolean contains(String id, double nowMs) {
        Double atMs = abandonedAtMs.get(id);
        return atMs != null && atMs >= nowMs - RETENTION_MS;
    }
}
