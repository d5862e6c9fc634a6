package opalcove.core;

/** The next step that the decision module chose for a request. */
sealed interface Step {
    /**
     * Makes an attempt at a backend; it times out after {@code timeoutMs}, or at the request's deadline if that is 0.
     */
    record Forward(String backend, double timeoutMs) implements Step {}

    /** Ends the request with this final response. */
    record Respond(Response response) implements Step {}
}
