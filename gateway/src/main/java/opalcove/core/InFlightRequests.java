package opalcove.core;

import java.util.HashMap;
import java.util.Map;
import opalcove.metrics.Metrics;

/** The open requests by their ids. Used on the event loop only. */
final class InFlightRequests {
    private final Map<String, InFlightRequest> byId = new HashMap<>();
    private final Metrics metrics;
    private final SerialTaskQueue tasks;
    private Runnable whenIdle;

    InFlightRequests(Metrics metrics, SerialTaskQueue tasks) {
        this.metrics = metrics;
        this.tasks = tasks;
    }

    int count() {
        return byId.size();
    }

    boolean contains(String id) {
        return byId.containsKey(id);
    }

    /**
     * Returns the open request with that id under that generation, or null. The generation is compared because the id
     * may be used again under another one.
     */
    InFlightRequest find(String id, ConfigGeneration generation) {
        InFlightRequest inFlight = byId.get(id);
        return inFlight != null && inFlight.generation == generation ? inFlight : null;
    }

    void open(InFlightRequest inFlight) {
        inFlight.generation.openRequests++;
        byId.put(inFlight.request.id(), inFlight);
        metrics.inFlight(byId.size());
    }

    void close(InFlightRequest inFlight) {
        if (byId.remove(inFlight.request.id(), inFlight)) {
            inFlight.generation.openRequests--;
        }
        metrics.inFlight(byId.size());
        if (byId.isEmpty() && whenIdle != null) {
            // Deferred until after the current task, which still writes the last response.
            tasks.append(whenIdle);
            whenIdle = null;
        }
    }

    /** Runs the action once no request is open, possibly within this call. */
    void whenIdle(Runnable action) {
        if (byId.isEmpty()) {
            action.run();
        } else {
            whenIdle = action;
        }
    }
}
