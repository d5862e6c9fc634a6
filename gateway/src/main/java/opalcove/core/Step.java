package opalcove.core;

/** What the decision module wants done next for a request. */
sealed interface Step {
    /** An attempt at a backend; a timeout of 0 waits to the deadline, ms. */
    record Forward(String backend, double timeoutMs) implements Step {}

    /** The final response. */
    record Respond(Response response) implements Step {}
}
