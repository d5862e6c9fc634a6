package opalcove.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import opalcove.config.Backend;
import opalcove.decision.EndpointState;

/** The endpoint list as last received. Used on the event loop only. */
final class EndpointList {
    private final Map<String, Backend> backends = new LinkedHashMap<>();

    /**
     * Applies the complete list or its changed entries. Returns the backends that took new requests before and now do
     * not, or now have a different address.
     */
    List<Backend> update(boolean complete, List<Backend> entries) {
        Map<String, Backend> before = new LinkedHashMap<>(backends);
        if (complete) {
            backends.clear();
        }
        for (Backend entry : entries) {
            if (entry.endpoint().state() == EndpointState.REMOVED) {
                backends.remove(entry.name());
            } else {
                backends.put(entry.name(), entry);
            }
        }
        List<Backend> withdrawn = new ArrayList<>();
        before.forEach((name, backend) -> {
            Backend current = available(name);
            if (backend.endpoint().state() == EndpointState.UP
                    && (current == null || !current.address().equals(backend.address()))) {
                withdrawn.add(backend);
            }
        });
        return withdrawn;
    }

    /** Returns the backend if the list says that it takes new requests, else null. */
    Backend available(String name) {
        Backend backend = backends.get(name);
        return backend != null && backend.endpoint().state() == EndpointState.UP ? backend : null;
    }

    /** Returns all backends in the list. */
    List<Backend> all() {
        return List.copyOf(backends.values());
    }
}
