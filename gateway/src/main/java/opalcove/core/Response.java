package opalcove.core;

import io.netty.buffer.ByteBuf;

/** The one final response to a request. */
public sealed interface Response {
    /** The request was served; the value is the one that a backend returned for it. */
    record Served(ByteBuf value) implements Response {}

    /** The request was refused. Trying again is harmless, preferably after {@code retryAfterMs}; 0 means no advice. */
    record Refused(long retryAfterMs) implements Response {}

    /** The request failed; it may or may not have had its effect. */
    record Failed(String reason) implements Response {}
}
