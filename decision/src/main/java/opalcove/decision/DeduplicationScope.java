package opalcove.decision;

/** Which backends drop repeats of a keyed request that one of them has seen. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
