package opalcove.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import opalcove.config.Backend;
import opalcove.decision.EndpointState;

/** The node list as this gateway was last told it. */
final class EndpointList {
    private final Map<String, Backend> backends = new LinkedHashMap<>();

    /** Takes in the whole list or the changed lines; gives the nodes that took new work before and do not now, or elsewhere. */
    List<Backend> update(boolean whole, List<Backend> lines) {
        Map<String, Backend> before = new LinkedHashMap<>(backends);
        if (whole) {
            backends.clear();
        }
        for (Backend line : lines) {
            if (line.host().state() == EndpointState.REMOVED) {
                backends.remove(line.name());
            } else {
                backends.put(line.name(), line);
            }
        }
        List<Backend> left = new ArrayList<>();
        before.forEach((name, backend) -> {
            Backend now = available(name);
            if (backend.host().state() == EndpointState.UP
                    && (now == null || !now.address().equals(backend.address()))) {
                left.add(backend);
            }
        });
        return left;
    }

    /** The node if the list says that it takes new work, else null. */
    Backend available(String name) {
        Backend backend = backends.get(name);
        return backend != null && backend.host().state() == EndpointState.UP ? backend : null;
    }

    /** All nodes that the list names. */
    List<Backend> all() {
        return List.copyOf(backends.values());
    }
}
