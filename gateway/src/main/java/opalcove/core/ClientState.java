package opalcove.core;

/** What is known of the client that waits for a response. */
public enum ClientState {
    /** It was connected a moment ago, so an attempt may be made for it. */
    CONNECTED,
    /** It has closed or reset its connection. */
    DISCONNECTED,
    /** It may have disconnected: a disconnect would be hidden behind input that there is no memory to read. */
    UNKNOWN
}
