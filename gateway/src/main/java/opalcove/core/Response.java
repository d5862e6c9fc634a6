package opalcove.core;

import io.netty.buffer.ByteBuf;

/** The one final answer to an ask. */
public sealed interface Response {
    /** Served: the value as an app node gave it for this ask. */
    record Served(ByteBuf value) implements Response {}

    /** Refused: trying again is harmless, best after comeBackMs (0: no advice). */
    record Refused(long retryAfterMs) implements Response {}

    /** Failed: nothing is promised about its effect. */
    record Failed(String reason) implements Response {}
}
