package opalcove.core;

import opalcove.config.Clock;
import opalcove.decision.AttemptOutcome;
import opalcove.decision.AttemptStatus;

/**
 * Handles responses whose value is too long to be buffered and is streamed to the client as it arrives. Used on the
 * event loop only.
 */
final class StreamedResponses {
    private final Clock clock;
    private final TimerQueue timers;
    private final TurnQueue turns;
    private final InFlightRequests requests;
    private final ResponseCounts responseCounts;

    StreamedResponses(CoreParts parts, ResponseCounts responseCounts) {
        clock = parts.clock();
        timers = parts.timers();
        turns = parts.turns();
        requests = parts.requests();
        this.responseCounts = responseCounts;
    }

    /**
     * Called when the first bytes of a streamed value have arrived. The value is the final response, because forwarded
     * bytes cannot be withdrawn. The module is notified now that the attempt was served, so that its latency does not
     * include the time that the client takes to read; the usage figures are reported at the end. Returns whether the
     * handler accepts the value.
     */
    boolean began(InFlightRequest inFlight, InFlightRequest.Attempt attempt, StreamedValue value) {
        if (!inFlight.stream(attempt, value)) {
            return false;
        }
        timers.cancel(inFlight.deadline());
        double nowMs = clock.now();
        turns.run(() -> inFlight.generation.module.attemptEnded(
                nowMs,
                new AttemptOutcome(
                        inFlight.request.id(),
                        attempt.backend.name(),
                        attempt.number,
                        AttemptStatus.SERVED,
                        nowMs - attempt.startedAtMs,
                        true,
                        -1,
                        0,
                        null)));
        return true;
    }

    /** Called when the attempt whose value was streamed has ended, with the value complete or truncated. */
    void ended(InFlightRequest inFlight, AttemptResult result) {
        inFlight.streaming.attempt().status = result.status();
        turns.run(() -> {
            if (!inFlight.over) {
                requests.close(inFlight);
                responseCounts.count(
                        inFlight.requestClass.name(),
                        inFlight.streaming.value().isComplete()
                                ? new Response.Served(null)
                                : new Response.Failed("cut"));
                inFlight.finish(null);
            }
            if (result.status() == AttemptStatus.SERVED) {
                inFlight.generation.module.usageReported(
                        clock.now(), inFlight.admissionRequest(), result.quotaUsedPercent(), result.actualUnits());
            }
        });
    }
}
