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
    private final SerialTaskQueue tasks;
    private final InFlightRequests requests;
    private final ResponseCounts responseCounts;

    StreamedResponses(CoreContext context, ResponseCounts responseCounts) {
        clock = context.clock();
        timers = context.timers();
        tasks = context.tasks();
        requests = context.requests();
        this.responseCounts = responseCounts;
    }

    /**
     * Called when the first bytes of a streamed value have arrived. The value is the final response, because forwarded
     * bytes cannot be withdrawn. The module is notified now that the attempt was served, so that its latency does not
     * include the time that the client takes to read; the usage figures are reported at the end. Returns whether the
     * handler accepts the value.
     */
    boolean valueStarted(InFlightRequest inFlight, InFlightRequest.Attempt attempt, StreamedValue value) {
        if (!inFlight.acceptStreamedValue(attempt, value)) {
            return false;
        }
        timers.cancel(inFlight.deadlineTimer());
        double nowMs = clock.now();
        tasks.run(() -> inFlight.generation.module.attemptEnded(
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
    void valueEnded(InFlightRequest inFlight, AttemptResult result) {
        inFlight.streaming.attempt().status = result.status();
        tasks.run(() -> {
            if (!inFlight.finished) {
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
