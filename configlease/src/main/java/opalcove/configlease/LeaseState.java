package opalcove.configlease;

/**
 * What a gateway may act on.
 *
 * @param version the number of the version that it holds; 0 for none
 * @param mode how far the version may be acted on
 * @param expiresAtMs when the lease ends unless it is renewed, in ms of the gateway's own monotonic clock; 0 before the
 *     first lease
 */
public record LeaseState(long version, Mode mode, long expiresAtMs) {
    /** How far a version may be acted on. The constants' names are also the modes' names in events. */
    public enum Mode {
        /** No version is known yet. */
        NONE,
        /** The lease has expired: only what cannot conflict with another version is in force. */
        STRICT,
        /** The version was the newest one within the lease's time: all of it is in force. */
        FULL
    }
}
