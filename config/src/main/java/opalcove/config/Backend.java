package opalcove.config;

import opalcove.decision.Endpoint;

/** A backend of the endpoint list, with the address at which this gateway reaches it. */
public record Backend(Endpoint endpoint, String address) {
    /** Returns the backend's name, which is the same at every gateway. */
    public String name() {
        return endpoint.id();
    }
}
