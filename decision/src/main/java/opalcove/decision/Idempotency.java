package opalcove.decision;

/** Whether a request may run more than once. */
public enum Idempotency {
    SAFE,
    KEYED,
    UNSAFE
}
