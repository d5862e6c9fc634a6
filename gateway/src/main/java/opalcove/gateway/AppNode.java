package opalcove.gateway;

import opalcove.decision.Admission;

/** An app node of the node list, and where this gateway reaches it. */
public record AppNode(Admission.Host host, String address) {
    public String name() {
        return host.id();
    }
}
