package opalcove.mqtt;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recent responses, so that a publication redelivered after its response gets the same one and no second request. A response is
 * cached until its request's deadline; number and size are bounded, the oldest are evicted first.
 *
 * <p>Owned by the event loop of its gateway.
 */
final class ResponseCache {
    private static final int MAX_RESPONSES = 1024;
    private static final int MAX_BYTES = 4 * 1024 * 1024;

    private record Entry(ResponseMessage response, double deadlineMs) {}

    private final Map<String, Entry> responses = new LinkedHashMap<>();
    private int bytes;

    void put(String id, ResponseMessage response, double nowMs, double deadlineMs) {
        subtract(responses.remove(id));
        responses.put(id, new Entry(response, deadlineMs));
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

    /** The response to this request, or null if it is not cached. */
    ResponseMessage get(String id, double nowMs) {
        Entry entry = responses.get(id);
        return entry == null || entry.deadlineMs <= nowMs ? null : entry.response;
    }

    private void subtract(Entry entry) {
        if (entry != null) {
            bytes -= entry.response.payload().length();
        }
    }
}
