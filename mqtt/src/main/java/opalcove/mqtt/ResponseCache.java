package opalcove.mqtt;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Answers given of late, so that a publication redelivered after its answer gets the same one and no second request.
 * An answer is kept until its ask's own time is over; number and size are bounded, the oldest go first.
 */
final class ResponseCache {
    private static final int MOST = 1024;
    private static final int MOST_BYTES = 4 * 1024 * 1024;

    private record Kept(ResponseMessage answer, double until) {}

    private final Map<String, Kept> answers = new LinkedHashMap<>();
    private int bytes;

    void keep(String id, ResponseMessage answer, double now, double until) {
        drop(answers.remove(id));
        answers.put(id, new Kept(answer, until));
        bytes += answer.payload().length();
        Iterator<Kept> oldest = answers.values().iterator();
        while (oldest.hasNext()) {
            Kept each = oldest.next();
            if (each.until > now && answers.size() <= MOST && bytes <= MOST_BYTES) {
                return;
            }
            oldest.remove();
            drop(each);
        }
    }

    /** The answer, or null where none is known any more. */
    ResponseMessage find(String id, double now) {
        Kept kept = answers.get(id);
        return kept == null || kept.until <= now ? null : kept.answer;
    }

    private void drop(Kept kept) {
        if (kept != null) {
            bytes -= kept.answer.payload().length();
        }
    }
}
