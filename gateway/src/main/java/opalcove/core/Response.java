package opalcove.core;

import io.netty.buffer.ByteBuf;

/** The one final response to a request. */
public sealed interface Response {
    /** Served: the value as a backend gave it for this request. */
    record Served(ByteBuf value) implements Response {}

    /** Refused: trying again is harmless, best after retryAfterMs (0: no advice). */
    record Refused(long retryAfterMs) implements Response {}

    /** Failed: nothing is promised about its effect. */
    record Failed(String reason) implements Response {}
}
