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
 * Follows the endpoint list at discovery: the complete list first, then a watch that is renewed at once. Owned by the
 * event loop it is started on.
 */
public final class DiscoveryClient implements EndpointSource {
    /** The index of no list: the complete one is requested. */
    public static final long NO_INDEX = -1;

    private static final String PATH = "/v1/endpoints";
    /** Failed calls after which a list that has not arrived yet is not waited for: discovery does not respond. */
    private static final int MAX_FAILURES_BEFORE_READY = 2;
    /** Calls that may return late before a process that is always slow becomes ready all the same. */
    private static final int MAX_LATE_BEFORE_READY = 8;

    /** Notified of what discovery sends, on the client's event loop. */
    public interface Listener {
        /**
         * Backends were received.
         *
         * @param isComplete whether they are the complete list, or else the entries that changed
         * @param discoveryNowMs discovery's own clock as it sent them, as Unix time; 0 where it gave none
         */
        void endpointsReceived(boolean isComplete, List<Backend> backends, double discoveryNowMs);

        /** A call was answered, with or without changes, which were given before. */
        default void responseReceived() {}

        /** A call has brought no usable list: no response, or one that is invalid. */
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
    /** How often the address has changed: the result of a call that began at an earlier address is ignored. */
    private int moveCount;
    /** When it last changed, by {@link System#nanoTime}. */
    private long movedAtNanos;

    private HttpClientRequest currentRequest;
    /** Discovery's own clock as its last response gave it, as Unix time; 0 where it gave none. */
    private double discoveryNowMs;

    private long index = NO_INDEX;
    /** Whether a failure was logged and no list has arrived since. */
    private boolean isFailing;

    private boolean isStarted;
    private int failuresBeforeReady;
    private int lateBeforeReady;
    /** Whether only a fresh list makes this client ready. */
    private boolean needsFreshList;
    /** A response lay unread while the process was held up, and what followed it is being requested. */
    private boolean isCatchingUp;

    /** Follows the list at this address; {@link #startFrom} begins. */
    public DiscoveryClient(
            Vertx vertx, HostAndPort address, DecisionSettings settings, RandomGenerator random, Listener listener) {
        this(vertx, address, PollSchedule.of(settings, random), random, listener);
    }

    /** Follows the list at this address by a schedule that no settings change. */
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
                .setConnectTimeout(PollSchedule.FIRST_CONNECT_MS)
                .setDecompressionSupported(false));
    }

    /** Starts with the complete list; the future succeeds once that has arrived, however many calls it takes. */
    public Future<Void> start() {
        return startFrom(NO_INDEX);
    }

    /**
     * Starts with what changed since a known index. Guards a shared service after a release: each gateway sends it one
     * watch, not a call for the complete list and then a watch.
     */
    public Future<Void> startFrom(long knownIndex) {
        // An index of a discovery that was left before the start says nothing of this one.
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
     * Succeeds once a list is known, or once discovery does not respond. Guards backends that were drained while this
     * process started, of which its agent's knowledge counts as known here from the first moment: while a call is in
     * flight its response is waited for, and a list that took long to arrive, as the first one of a slow process does, may
     * have been overtaken by a drain, so what followed it is requested. Where one slow service is polled by all gateways
     * any list will do: nothing of it counts as known before it has responded.
     *
     * @param freshListOnly whether only a fresh list will do
     */
    public Future<Void> whenReady(boolean freshListOnly) {
        needsFreshList = freshListOnly;
        return ready.future();
    }

    /** New settings are in force: calls from now on follow their schedule. */
    public void applySettings(DecisionSettings settings) {
        schedule = PollSchedule.of(settings, random);
    }

    /** Follows discovery at another address, with the complete list first; until that arrives the last list holds. */
    public void moveTo(HostAndPort newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        Logger.info("discovery moves from {} to {}", address, newAddress);
        address = newAddress;
        // Guards against indexes of two discoveries taken for one another's, and against a late response of the old
        // one.
        moveCount++;
        movedAtNanos = System.nanoTime();
        schedule.backoff().reset();
        setCatchingUp(false);
        index = NO_INDEX;
        if (currentRequest != null) {
            currentRequest.reset();
        }
        // Before the start there is no watch to continue, and the start's own is made at the new address.
        if (isStarted) {
            watch();
        }
    }

    /**
     * Guards a draining backend while the process was held up: the response that lay unread ended the watch, and what the
     * agent learnt after it is given to the next call alone, though its grace has begun.
     */
    private void setCatchingUp(boolean begins) {
        isCatchingUp = begins;
        if (!begins && !whenCurrent.isEmpty()) {
            List<Runnable> waiting = List.copyOf(whenCurrent);
            whenCurrent.clear();
            // Each by itself: the watch continues whatever becomes of them.
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

    /** Makes the next call, at once after a response is received: a watch lasts while it is renewed within 200 ms. */
    private void watch() {
        int move = moveCount;
        long calledAtNanos = System.nanoTime();
        // Before this client is ready, and after the process was held up, only what is available already is requested.
        boolean isUrgent = isCatchingUp || needsFreshList && !ready.future().isComplete();
        int waitMs = isUrgent ? 1 : schedule.waitMs();
        Future<Void> call = index < 0
                ? call(PATH, schedule.silenceMs(), calledAtNanos, move)
                : call(
                        PATH + "?since=" + index + "&timeout_ms=" + waitMs,
                        waitMs + schedule.silenceMs(),
                        calledAtNanos,
                        move);
        call.onComplete(response -> {
            if (response.succeeded()) {
                completeReady(calledAtNanos);
            }
            if (move == moveCount) {
                boolean layUnread = response.succeeded() && msSince(calledAtNanos) - waitMs > schedule.lateMs();
                // Once for each such response: a process that is always slow continues all the same.
                setCatchingUp(layUnread && !isCatchingUp);
            }
            scheduleNext(response.succeeded(), calledAtNanos, move);
        });
    }

    /** The response to a call of that time was received, and its list is known. */
    private void completeReady(long calledAtNanos) {
        if (!needsFreshList
                || msSince(calledAtNanos) <= schedule.freshMs()
                || ++lateBeforeReady >= MAX_LATE_BEFORE_READY) {
            ready.tryComplete();
        }
    }

    private void scheduleNext(boolean hasSucceeded, long calledAtNanos, int move) {
        if (move != moveCount) {
            return;
        }
        if (hasSucceeded) {
            // Not within the end of the response, when its connection is not free yet and a second would be opened.
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
                                ready.future().isComplete() ? schedule.connectMs() : PollSchedule.FIRST_CONNECT_MS))
                .compose(request -> send(request, silenceMs, calledAtNanos, move))
                .compose(body -> move == moveCount ? receive(body) : hasMoved())
                .onFailure(cause -> callFailed(cause, move));
    }

    private Future<Buffer> send(HttpClientRequest request, int silenceMs, long calledAtNanos, int move) {
        if (move != moveCount) {
            request.reset();
            return hasMoved();
        }
        currentRequest = request;
        // Otherwise Vert.x logs it as an error that does not name the connection.
        request.connection().exceptionHandler(e -> Logger.debug("discovery's connection failed: {}", e.getMessage()));
        Future<Buffer> body = request.send().compose(this::readBody);
        // Guards against a response that stops half way: the client's own idle time-out was seen not to end it.
        long timeout = vertx.setTimer(responseTimeoutMs(silenceMs, calledAtNanos), due -> request.reset());
        return body.onComplete(done -> vertx.cancelTimer(timeout));
    }

    private static <T> Future<T> hasMoved() {
        return Future.failedFuture("discovery has moved");
    }

    /** The time for a response, ms: a call whose connection was slow to come up ends no later than any other. */
    private long responseTimeoutMs(int silenceMs, long calledAtNanos) {
        // Before this client is ready, counted from when the call was sent: a process that has just started is slow
        // itself.
        long connectMs = ready.future().isComplete() ? msSince(calledAtNanos) : 0;
        return Math.max(1, Math.min(silenceMs, schedule.waitMs() + schedule.silenceMs() - connectMs));
    }

    private Future<Buffer> readBody(HttpClientResponse response) {
        int status = response.statusCode();
        String dateHeader = response.getHeader(HttpHeaders.DATE);
        Date date = dateHeader == null ? null : DateFormatter.parseHttpDate(dateHeader);
        discoveryNowMs = date == null ? 0 : date.getTime();
        // The body is read in either case. Guards the client's few connections against rejections whose body never
        // arrives: each would occupy one, until no call could be made any more.
        Future<Buffer> body = response.body();
        return status == 200 ? body : body.compose(read -> Future.failedFuture("status " + status));
    }

    /** Reports each call without a usable list; logs the first of consecutive ones only. */
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
                // Guards backends that are known to be draining against changes from before their drain.
                long known = index;
                index = NO_INDEX;
                throw new InvalidConfigurationException(
                        "changes up to version " + response.index() + " do not follow version " + known);
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
