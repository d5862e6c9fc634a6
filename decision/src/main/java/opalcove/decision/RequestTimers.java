package opalcove.decision;

import java.util.HashMap;
import java.util.Map;

/**
 * The timers of requests by their tokens, which the embedding gateway returns when a timer expires. Owned by the thread
 * that delivers the instance's events.
 */
final class RequestTimers {
    /**
     * The kinds of timers: the interval, the deadline of a request, a slow attempt, the queues. The kind is in the two
     * lowest bits of a token.
     */
    static final int INTERVAL = 0;

    static final int DEADLINE = 1;
    static final int SLOW_ATTEMPT = 2;
    static final int QUEUES = 3;
    private static final int KIND_MASK = 3;
    private static final int SERIAL_STEP = 4;

    private final DecisionContext context;
    private final Map<Long, RequestState> requests = new HashMap<>();
    private long lastSerial;

    RequestTimers(DecisionContext context) {
        this.context = context;
    }

    /** The kind of the timer with this token. */
    static int kind(long token) {
        return (int) (token & KIND_MASK);
    }

    /** Sets a timer of a request. */
    void set(int kind, RequestState state, double afterMs) {
        lastSerial += SERIAL_STEP;
        Long token = lastSerial | kind;
        requests.put(token, state);
        state.timerTokens.add(token);
        context.actions.setTimer(token, afterMs);
    }

    /** Removes a timer that expired and returns its request, or null if the timer is no longer needed. */
    RequestState expire(long token) {
        return requests.remove(token);
    }

    /** Cancels all timers of a request. */
    void cancelAll(RequestState state) {
        for (Long token : state.timerTokens) {
            if (requests.remove(token) != null) {
                context.actions.cancelTimer(token);
            }
        }
    }
}
