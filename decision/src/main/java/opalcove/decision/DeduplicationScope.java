package opalcove.decision;

/** The set of backends that drop repeats of a keyed request that one of them has received. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
