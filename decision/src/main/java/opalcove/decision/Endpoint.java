package opalcove.decision;

/** A line of the host list; startedMs is 0 where the start is long ago. */
public record Endpoint(
        String id, String zone, String kind, int cell, EndpointState state, double size, double startedMs) {
    /** The same host, started at that time. */
    public Endpoint started(double ms) {
        return new Endpoint(id, zone, kind, cell, state, size, ms);
    }

    /** The same host, started at that time at the earliest. */
    public Endpoint startedSince(double ms) {
        return new Endpoint(id, zone, kind, cell, state, size, Math.max(startedMs, ms));
    }
}
