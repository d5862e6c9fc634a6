package opalcove.core;

import io.vertx.core.Vertx;
import opalcove.decision.AttemptStatus;

/**
 * An attempt that the module chose while the event loop was delayed. The drain of its backend may then have been
 * announced long before without having been read yet, and an attempt that started at once would send new work to the
 * draining backend. The attempt therefore starts only after all input of that time has been read and the endpoint
 * source has been polled for the changes since, and only if it is still allowed then. Used on the event loop only.
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
        // The event loop reads its sockets once more before a timer that is set now expires.
        vertx.setTimer(1, read -> lifecycle.whenEndpointsCurrent(() -> startIfStillWanted(inFlight, step)));
    }

    private void startIfStillWanted(InFlightRequest inFlight, Step.Forward step) {
        if (ended) {
            return;
        }
        if (lifecycle.isStillWanted(inFlight, attempt)) {
            ended = true;
            lifecycle.startAttempt(inFlight, attempt, step);
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
