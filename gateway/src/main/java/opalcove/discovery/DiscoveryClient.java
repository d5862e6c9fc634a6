package opalcove.discovery;

import io.netty.handler.codec.DateFormatter;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import opalcove.config.Backend;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.core.EndpointSource;
import opalcove.decision.DecisionSettings;
import org.tinylog.Logger;

/**
 * Follows the endpoint list of discovery: it requests the complete list first and then watches for changes, renewing
 * the watch immediately after each response. Owned by the event loop on which it is started.
 */
public final class DiscoveryClient implements EndpointSource {
    /** The index that stands for no known list; the complete list is requested. */
    public static final long NO_INDEX = -1;

    private static final String ENDPOINTS_PATH = "/v1/endpoints";
    /**
     * The number of failed calls after which discovery counts as unresponsive and the client is ready without a list.
     */
    private static final int MAX_FAILURES_BEFORE_READY = 2;
    /**
     * The number of late responses after which the client is ready all the same, because its process is always slow.
     */
    private static final int MAX_LATE_RESPONSES_BEFORE_READY = 8;

    /** Receives endpoint lists and failures from discovery, on the client's event loop. */
    public interface Listener {
        /**
         * Called when backends were received.
         *
         * @param isComplete whether the backends are the complete list rather than the changed entries
         * @param discoveryNowMs discovery's own clock when it sent them, in Unix ms; 0 if the response has no date
         */
        void endpointsReceived(boolean isComplete, List<Backend> backends, double discoveryNowMs);

        /** Called after each valid response, with or without changes; {@link #endpointsReceived} was called before. */
        default void responseReceived() {}

        /** Called when a call failed: there was no response, or an invalid one. */
        default void callFailed(boolean isInvalid) {}
    }

    private final Vertx vertx;
    private final HttpClient client;
    private final Listener listener;
    private final RandomGenerator random;
    private final Promise<Void> firstList = Promise.promise();
    private final Promise<Void> ready = Promise.promise();
    private final List<Runnable> whenCurrent = new ArrayList<>();

    private PollSchedule schedule;
    private HostAndPort address;
    /** The number of address changes; the result of a call that was made to an earlier address is ignored. */
    private int moveCount;
    /** The {@link System#nanoTime} of the last address change. */
    private long movedAtNanos;

    private HttpClientRequest currentRequest;
    /** Discovery's own clock according to its last response, in Unix ms; 0 if the response has no date. */
    private double discoveryNowMs;

    private long index = NO_INDEX;
    /** Whether a failure was logged and no list has been received since. */
    private boolean isFailing;

    private boolean isStarted;
    private int failuresBeforeReady;
    private int lateResponsesBeforeReady;
    /** Whether only a fresh list makes this client ready, see {@link PollSchedule#freshMs}. */
    private boolean needsFreshList;
    /**
     * Whether a response was read late because the process was stalled, and the changes after it are being requested.
     */
    private boolean isCatchingUp;

    /** Creates a client of discovery at this address; {@link #startFrom} starts it. */
    public DiscoveryClient(
            Vertx vertx, HostAndPort address, DecisionSettings settings, RandomGenerator random, Listener listener) {
        this(vertx, address, PollSchedule.of(settings, random), random, listener);
    }

    /** Creates a client of discovery at this address with a fixed schedule. */
    public DiscoveryClient(Vertx vertx, HostAndPort address, PollSchedule schedule, Listener listener) {
        this(vertx, address, schedule, null, listener);
    }

    private DiscoveryClient(
            Vertx vertx, HostAndPort address, PollSchedule schedule, RandomGenerator random, Listener listener) {
        this.random = random;
        this.schedule = schedule;
        this.vertx = vertx;
        this.listener = listener;
        this.address = address;
        client = vertx.createHttpClient(new HttpClientOptions()
                .setKeepAlive(true)
                .setConnectTimeout(PollSchedule.STARTUP_CONNECT_TIMEOUT_MS)
                .setDecompressionSupported(false));
    }

    /** Starts with the complete list; the future succeeds once it is received, however many calls that takes. */
    public Future<Void> start() {
        return startFrom(NO_INDEX);
    }

    /**
     * Starts with the changes since a known index. This reduces the load of a shared service after a release: each
     * gateway sends it one watch instead of a call for the complete list and then a watch.
     */
    public Future<Void> startFrom(long knownIndex) {
        // After a move before the start, the known index belongs to the former discovery and means nothing to this one.
        index = moveCount == 0 ? knownIndex : NO_INDEX;
        isStarted = true;
        if (schedule.firstAfterMs() > 0) {
            int move = moveCount;
            vertx.setTimer(schedule.firstAfterMs(), due -> watchUnlessMoved(move));
        } else {
            watch();
        }
        return firstList.future();
    }

    /**
     * Returns a future that succeeds once a list is known, or once discovery counts as unresponsive.
     *
     * <p>This guards against requests to backends that were drained while this process started: the gateway is required
     * to know from the first moment what its agent knows. A response to a call in flight is therefore awaited. A list
     * that took long to be received, such as the first list of a slow process, may be older than a drain, so the
     * changes after it are requested. If one slow service is polled by all gateways, any list is sufficient: the
     * gateway is not required to know any of the service's changes before the service has responded.
     *
     * @param freshListOnly whether only a fresh list completes the future
     */
    public Future<Void> whenReady(boolean freshListOnly) {
        needsFreshList = freshListOnly;
        return ready.future();
    }

    /** Applies new settings; calls from now on follow their schedule. */
    public void applySettings(DecisionSettings settings) {
        schedule = PollSchedule.of(settings, random);
    }

    /**
     * Follows discovery at another address, starting with the complete list; the last list holds until it is received.
     */
    public void moveTo(HostAndPort newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        Logger.info("discovery moves from {} to {}", address, newAddress);
        address = newAddress;
        // Without the new count a late response of the former discovery would be applied, and its index would be sent
        // to the new discovery.
        moveCount++;
        movedAtNanos = System.nanoTime();
        schedule.backoff().reset();
        setCatchingUp(false);
        index = NO_INDEX;
        if (currentRequest != null) {
            currentRequest.reset();
        }
        // Before the start there is no watch to continue; startFrom makes its first call to the new address.
        if (isStarted) {
            watch();
        }
    }

    /**
     * Sets whether this client is catching up, and runs the waiting actions once it is not. Without it, requests would
     * be sent to a draining backend after the process was stalled: the unread response had ended the watch, so that
     * changes which the agent learnt after it arrive only with the response to the next call, although their grace has
     * begun.
     */
    private void setCatchingUp(boolean begins) {
        isCatchingUp = begins;
        if (!begins && !whenCurrent.isEmpty()) {
            List<Runnable> waiting = List.copyOf(whenCurrent);
            whenCurrent.clear();
            // Each action runs in its own task, so that the watch continues even if an action fails.
            waiting.forEach(action -> vertx.runOnContext(run -> action.run()));
        }
    }

    @Override
    public boolean isCurrent() {
        return !isCatchingUp;
    }

    @Override
    public void whenCurrent(Runnable action) {
        if (isCatchingUp) {
            whenCurrent.add(action);
        } else {
            action.run();
        }
    }

    private static long msSince(long nanoTime) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanoTime);
    }

    private void watchUnlessMoved(int move) {
        if (move == moveCount) {
            watch();
        }
    }

    /**
     * Makes the next call. After a response it must follow immediately: a watch stays valid only if it is renewed
     * within 200 ms.
     */
    private void watch() {
        int move = moveCount;
        long calledAtNanos = System.nanoTime();
        // Before this client is ready, and after the process was stalled, the call does not wait for further changes.
        boolean isUrgent = isCatchingUp || needsFreshList && !ready.future().isComplete();
        int waitMs = isUrgent ? 1 : schedule.waitMs();
        Future<Void> call = index < 0
                ? call(ENDPOINTS_PATH, schedule.silenceMs(), calledAtNanos, move)
                : call(
                        ENDPOINTS_PATH + "?since=" + index + "&timeout_ms=" + waitMs,
                        waitMs + schedule.silenceMs(),
                        calledAtNanos,
                        move);
        call.onComplete(response -> {
            if (response.succeeded()) {
                completeReady(calledAtNanos);
            }
            if (move == moveCount) {
                boolean wasReadLate = response.succeeded() && msSince(calledAtNanos) - waitMs > schedule.lateMs();
                // Not twice in succession: a process that is always slow must not catch up forever.
                setCatchingUp(wasReadLate && !isCatchingUp);
            }
            scheduleNext(response.succeeded(), calledAtNanos, move);
        });
    }

    /** Completes the ready future if the response to a call made at this time is fresh enough. */
    private void completeReady(long calledAtNanos) {
        if (!needsFreshList
                || msSince(calledAtNanos) <= schedule.freshMs()
                || ++lateResponsesBeforeReady >= MAX_LATE_RESPONSES_BEFORE_READY) {
            ready.tryComplete();
        }
    }

    private void scheduleNext(boolean hasSucceeded, long calledAtNanos, int move) {
        if (move != moveCount) {
            return;
        }
        if (hasSucceeded) {
            // Not from within the response's end handler: its connection is not free yet, so a second one would be
            // opened.
            vertx.runOnContext(free -> watchUnlessMoved(move));
        } else {
            long maxMs = schedule.maxBackoffMs(msSince(calledAtNanos), moveCount, msSince(movedAtNanos));
            vertx.setTimer(schedule.backoff().next(maxMs), due -> watchUnlessMoved(move));
        }
    }

    private Future<Void> call(String uri, int silenceMs, long calledAtNanos, int move) {
        return client.request(new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(address.address())
                        .setPort(address.port())
                        .setURI(uri)
                        .setConnectTimeout(
                                ready.future().isComplete()
                                        ? schedule.connectTimeoutMs()
                                        : PollSchedule.STARTUP_CONNECT_TIMEOUT_MS))
                .compose(request -> send(request, silenceMs, calledAtNanos, move))
                .compose(body -> move == moveCount ? receive(body) : movedFailure())
                .onFailure(cause -> callFailed(cause, move));
    }

    private Future<Buffer> send(HttpClientRequest request, int silenceMs, long calledAtNanos, int move) {
        if (move != moveCount) {
            request.reset();
            return movedFailure();
        }
        currentRequest = request;
        // Without this handler Vert.x logs the failure as an error that does not name the connection.
        request.connection().exceptionHandler(e -> Logger.debug("discovery's connection failed: {}", e.getMessage()));
        Future<Buffer> body = request.send().compose(this::readBody);
        // Ends a response that stalls half way; the client's own idle timeout was seen not to end it.
        long timeout = vertx.setTimer(responseTimeoutMs(silenceMs, calledAtNanos), due -> request.reset());
        return body.onComplete(done -> vertx.cancelTimer(timeout));
    }

    private static <T> Future<T> movedFailure() {
        return Future.failedFuture("the address of discovery has changed");
    }

    /**
     * Returns the timeout of a response, in ms. A call whose connection took long to open ends no later than any other.
     */
    private long responseTimeoutMs(int silenceMs, long calledAtNanos) {
        // Before this client is ready the connect time does not count, because a process that has just started is slow
        // itself.
        long connectMs = ready.future().isComplete() ? msSince(calledAtNanos) : 0;
        return Math.max(1, Math.min(silenceMs, schedule.waitMs() + schedule.silenceMs() - connectMs));
    }

    private Future<Buffer> readBody(HttpClientResponse response) {
        int status = response.statusCode();
        String dateHeader = response.getHeader(HttpHeaders.DATE);
        Date date = dateHeader == null ? null : DateFormatter.parseHttpDate(dateHeader);
        discoveryNowMs = date == null ? 0 : date.getTime();
        // The body is read whatever the status, so that the response timeout covers it. Otherwise each rejection whose
        // body never arrives would occupy one of the client's few connections, until no call could be made any more.
        Future<Buffer> body = response.body();
        return status == 200 ? body : body.compose(read -> Future.failedFuture("status " + status));
    }

    /** Reports each failed call to the listener and logs only the first one of a series. */
    private void callFailed(Throwable cause, int move) {
        if (move != moveCount) {
            return;
        }
        boolean isInvalid = cause instanceof InvalidConfigurationException;
        listener.callFailed(isInvalid);
        if (++failuresBeforeReady >= MAX_FAILURES_BEFORE_READY) {
            ready.tryComplete();
        }
        if (!isFailing) {
            isFailing = true;
            Logger.warn(
                    "{}: {}",
                    isInvalid ? "discovery sent an invalid list" : "discovery does not respond",
                    cause.getMessage());
        }
    }

    private Future<Void> receive(Buffer body) {
        try {
            EndpointListResponse response = EndpointListResponse.parse(body.toString());
            if (!response.isComplete() && response.index() < index) {
                // Changes from before a drain would put a backend that is known to be draining back to up.
                long knownIndex = index;
                index = NO_INDEX;
                throw new InvalidConfigurationException(
                        "changes up to version " + response.index() + " do not follow version " + knownIndex);
            }
            index = response.index();
            isFailing = false;
            schedule.backoff().reset();
            if (response.isComplete() || !response.backends().isEmpty()) {
                listener.endpointsReceived(response.isComplete(), response.backends(), discoveryNowMs);
            }
            listener.responseReceived();
            firstList.tryComplete();
            return Future.succeededFuture();
        } catch (InvalidConfigurationException e) {
            return Future.failedFuture(e);
        }
    }
}
