package opalcove.config;

import opalcove.decision.Endpoint;

/** An app node of the node list, and where this gateway reaches it. */
public record Backend(Endpoint host, String address) {
    /** The backend's name, the same at every gateway. */
    public String name() {
        return host.id();
    }
}
