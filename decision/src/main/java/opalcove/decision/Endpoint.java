package opalcove.decision;

/**
 * An entry of the endpoint list.
 *
 * @param id the backend's name
 * @param cell the number of the set of backends that share knowledge of keyed requests
 * @param size a figure for comparison with other backends, without a unit
 * @param startedMs when the backend started; 0 where that is long ago
 */
public record Endpoint(
        String id, String zone, String kind, int cell, EndpointState state, double size, double startedMs) {
    /** The same backend, started at that time. */
    public Endpoint withStartedMs(double timeMs) {
        return new Endpoint(id, zone, kind, cell, state, size, timeMs);
    }

    /** The same backend, started at that time at the earliest. */
    public Endpoint withMinStartedMs(double earliestMs) {
        return new Endpoint(id, zone, kind, cell, state, size, Math.max(startedMs, earliestMs));
    }
}
