package opalcove.config;

import opalcove.decision.Endpoint;

/** A backend of the endpoint list, and the address at which this gateway reaches it. */
public record Backend(Endpoint endpoint, String address) {
    /** The backend's name, the same at every gateway. */
    public String name() {
        return endpoint.id();
    }
}
