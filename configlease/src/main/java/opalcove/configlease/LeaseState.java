package opalcove.configlease;

/**
 * The configuration version that a gateway holds, and how much of it is in effect.
 *
 * @param version the number of the version held; 0 if there is none
 * @param mode how much of the version is in effect
 * @param expiresAtMs when the lease expires unless it is renewed, in ms of the gateway's own monotonic clock; 0 before
 *     the first lease
 */
public record LeaseState(long version, Mode mode, long expiresAtMs) {
    /** How much of a version is in effect. The names of the constants are written to events. */
    public enum Mode {
        /** The gateway holds no version yet. */
        NONE,
        /** The lease has expired: only the part that cannot conflict with another version is in effect. */
        STRICT,
        /** The lease is valid: the version was confirmed as the newest one, and all of it is in effect. */
        FULL
    }
}
