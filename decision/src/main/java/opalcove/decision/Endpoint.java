package opalcove.decision;

/**
 * An entry of the endpoint list.
 *
 * @param id the backend's name
 * @param cell the number of the set of backends that share their records of keyed requests
 * @param size a size for comparison with other backends, without a unit
 * @param startedMs the time when the backend started, ms; 0 if that is long ago
 */
public record Endpoint(
        String id, String zone, String kind, int cell, EndpointState state, double size, double startedMs) {
    /** Returns a copy of this endpoint with this start time, ms. */
    public Endpoint withStartedMs(double timeMs) {
        return new Endpoint(id, zone, kind, cell, state, size, timeMs);
    }

    /** Returns a copy of this endpoint whose start time is no earlier than this time, ms. */
    public Endpoint withMinStartedMs(double earliestMs) {
        return new Endpoint(id, zone, kind, cell, state, size, Math.max(startedMs, earliestMs));
    }
}
