package opalcove.mqtt;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Cache of recent responses. A publication that is redelivered after its response receives the same response and is not
 * dispatched a second time. A response is cached until the deadline of its request; the number of responses and their
 * total size are bounded, and the oldest responses are evicted first.
 *
 * <p>Owned by the event loop of its gateway.
 */
final class ResponseCache {
    private static final int MAX_RESPONSES = 1024;
    private static final int MAX_BYTES = 4 * 1024 * 1024;

    private record Entry(ResponseMessage response, double deadlineMs) {}

    private final Map<String, Entry> responses = new LinkedHashMap<>();
    private int bytes;

    void put(String requestId, ResponseMessage response, double nowMs, double deadlineMs) {
        subtract(responses.remove(requestId));
        responses.put(requestId, new Entry(response, deadlineMs));
        bytes += response.payload().length();
        Iterator<Entry> oldest = responses.values().iterator();
        while (oldest.hasNext()) {
            Entry each = oldest.next();
            if (each.deadlineMs > nowMs && responses.size() <= MAX_RESPONSES && bytes <= MAX_BYTES) {
                return;
            }
            oldest.remove();
            subtract(each);
        }
    }

    /** Returns the response to this request; null if it is not cached or its deadline has passed. */
    ResponseMessage get(String requestId, double nowMs) {
        Entry entry = responses.get(requestId);
        return entry == null || entry.deadlineMs <= nowMs ? null : entry.response;
    }

    private void subtract(Entry entry) {
        if (entry != null) {
            bytes -= entry.response.payload().length();
        }
    }
}
