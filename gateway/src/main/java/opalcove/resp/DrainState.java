package opalcove.resp;

import opalcove.lifecycle.Lifecycle;

/**
 * Tells whether a server closes each connection once no response is due on it, because an administrator has requested a
 * drain or the process is shutting down. Owned by the server's event loop.
 */
final class DrainState {
    private final Lifecycle lifecycle;
    private boolean isRequested;

    DrainState(Lifecycle lifecycle) {
        this.lifecycle = lifecycle;
    }

    /** Sets whether an administrator requests a drain. */
    void request(boolean drain) {
        isRequested = drain;
    }

    /**
     * Whether an administrator has requested a drain. PING then reports it, so that no new connections are sent to this
     * gateway.
     */
    boolean isRequested() {
        return isRequested;
    }

    /** Whether the process is shutting down and accepts no new connections. */
    boolean isProcessEnding() {
        return lifecycle.current().ordinal() >= Lifecycle.Phase.DRAINING.ordinal();
    }

    /** Whether connections are closed once no response is due on them. */
    boolean isActive() {
        return isRequested || isProcessEnding();
    }
}
