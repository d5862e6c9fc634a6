package opalcove.core;

import io.vertx.core.Vertx;
import opalcove.decision.AttemptStatus;

/**
 * An attempt that was decided on while the event loop had been held up. Guards a backend whose drain has not been read
 * yet, and may have been sent long ago: the attempt starts once all input of that time has been read and the endpoint
 * source was asked for its changes since, if the attempt still holds then. Used on the event loop only.
 */
final class DeferredAttempt implements BackendTransport.Attempt {
    private final RequestLifecycle lifecycle;
    private final InFlightRequest.Attempt attempt;
    private boolean ended;

    DeferredAttempt(
            Vertx vertx,
            RequestLifecycle lifecycle,
            InFlightRequest inFlight,
            InFlightRequest.Attempt attempt,
            Step.Forward step) {
        this.lifecycle = lifecycle;
        this.attempt = attempt;
        // By the time that a timer set now expires, the loop has read once more.
        vertx.setTimer(1, read -> lifecycle.whenEndpointsCurrent(() -> startIfStillWanted(inFlight, step)));
    }

    private void startIfStillWanted(InFlightRequest inFlight, Step.Forward step) {
        if (ended) {
            return;
        }
        if (lifecycle.isStillWanted(inFlight, attempt)) {
            ended = true;
            lifecycle.start(inFlight, attempt, step);
        } else {
            cancel();
        }
    }

    @Override
    public void cancel() {
        if (!ended) {
            ended = true;
            attempt.onResult(AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
        }
    }
}
