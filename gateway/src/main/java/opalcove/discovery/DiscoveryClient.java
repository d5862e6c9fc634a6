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
import opalcove.config.EndpointCodec;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.core.EndpointSource;
import opalcove.decision.DecisionSettings;
import org.tinylog.Logger;

/** Follows the node list at discovery: the whole list first, then a watch that is renewed at once. */
public final class DiscoveryClient implements EndpointSource {
    /** The version of no list: the whole one is asked for. */
    public static final long NO_INDEX = -1;
    /**
     * How calls are made. A list that is pushed lies with an agent on this machine, which answers at once and at no cost:
     * it is asked at once, and again soon. One that is asked for is one service for all gateways, of so much capacity: they
     * spread their first calls, wait longer each time, and wait for its refusal rather than leave calls in its line.
     *
     * <p>What a pushed list's agent has counts as told at once, also when the agent has been silent and no call that
     * was made meanwhile is ever answered: all of a call and the wait after it end within the drain grace, the time in
     * which sends to a drained node have to stop. A change of a list that is asked for counts as told 6 s after
     * discovery had it and could be reached, whatever calls failed before. docs/design/crossings.md has the sums.
     *
     * @param waitMs how long a watch may wait for news
     * @param silenceMs how much later its answer may come before the watch counts as broken
     * @param firstAfterMs when the first call goes out
     * @param again waits after failed calls
     * @param betweenMs the longest time from the start of a call that fails to the start of the next
     * @param freshMs a list is fresh that was taken in so soon after it was asked for: while an older one was on its
     *     way its agent may have learnt of a drain, whose grace began then
     * @param lateMs a watch whose answer is taken in so much later than its wait shows that this process was held up
     */
    public record PollSchedule(
            int waitMs, int silenceMs, long firstAfterMs, Backoff again, long betweenMs, long freshMs, long lateMs) {
        /**
         * The first calls of all gateways, and those after a failure that all of them met, are spread over so long for
         * each of them, ms: a release, or a service that breaks all its connections, does not have them call in one
         * instant.
         */
        private static final double SPREAD_MS = 20;
        /**
         * A list that is asked for: a service in want of capacity refuses a call after it was in line for 2 s, which
         * the silence outlasts. All of a call and the wait after it leave 1.5 s of the 6 s for the next call's answer
         * and for a process that is held up.
         */
        private static final int ASKED_WAIT_MS = 1500;

        private static final int ASKED_SILENCE_MS = 2500;
        private static final long ASKED_BETWEEN_MS = 4500;
        private static final double ASKED_AGAIN_MS = 200;
        private static final double ASKED_AGAIN_MOST_MS = 3200;
        /**
         * After a move a change counts as told 4 s after SIGHUP: a call that fails before that is made again within so
         * long of the move, ms.
         */
        private static final long MOVED_MS = 3200;

        /** The times of a pushed list as parts of the drain grace; a fifth is left for a process that is held up. */
        private static final double WAIT_PART = 0.25;

        private static final double SILENCE_PART = 0.4;
        private static final double AGAIN_PART = 0.05;
        private static final double BETWEEN_PART = 0.8;
        private static final double FRESH_PART = 0.3;
        private static final double LATE_PART = 0.4;
        /** Shorter than this no agent is given up, ms. */
        private static final double LEAST_GRACE_MS = 100;
        /** A longer grace makes no call slower than this one does, ms: nodes that leave refuse attempts. */
        private static final double MOST_GRACE_MS = 1000;

        /** A pace whose calls are not bounded together; nothing is late. */
        public PollSchedule(int waitMs, int silenceMs, long firstAfterMs, Backoff again) {
            this(waitMs, silenceMs, firstAfterMs, again, Long.MAX_VALUE, 300, Long.MAX_VALUE);
        }

        static PollSchedule of(DecisionSettings settings, RandomGenerator random) {
            return settings.obligations().listOnRequest()
                    ? ofAsked(settings.gateways(), random)
                    : ofPushed(settings.obligations().drainGraceMs(), random);
        }

        private static PollSchedule ofAsked(int gateways, RandomGenerator random) {
            double fleetMs = SPREAD_MS * (gateways - 1);
            double spreadMs = Math.min(fleetMs, ASKED_BETWEEN_MS);
            double againMs = Math.min(Math.max(ASKED_AGAIN_MS, fleetMs), ASKED_AGAIN_MOST_MS);
            return new PollSchedule(
                    ASKED_WAIT_MS,
                    ASKED_SILENCE_MS,
                    (long) (spreadMs * random.nextDouble()),
                    new Backoff(againMs, ASKED_AGAIN_MOST_MS, random),
                    ASKED_BETWEEN_MS,
                    Long.MAX_VALUE,
                    Long.MAX_VALUE);
        }

        /** How long the wait after a failed call may be, ms; moves: how often the address has changed. */
        long waitAtMostMs(long msSinceCall, int moves, long msSinceMove) {
            long left = betweenMs - msSinceCall;
            boolean moved = moves > 0 && msSinceMove < MOVED_MS;
            return Math.max(1, moved ? Math.min(left, MOVED_MS - msSinceMove) : left);
        }

        private static PollSchedule ofPushed(double drainGraceMs, RandomGenerator random) {
            double graceMs = Math.max(LEAST_GRACE_MS, Math.min(drainGraceMs, MOST_GRACE_MS));
            return new PollSchedule(
                    (int) (WAIT_PART * graceMs),
                    (int) (SILENCE_PART * graceMs),
                    0,
                    new Backoff(AGAIN_PART * graceMs, 2 * AGAIN_PART * graceMs, random),
                    (long) (BETWEEN_PART * graceMs),
                    (long) (FRESH_PART * graceMs),
                    (long) (LATE_PART * graceMs));
        }

        /**
         * How long a connection to discovery may take to come up, ms. One that was tried while the agent was away may never
         * come up, and is part of the same second as a call that is never answered.
         */
        int connectMs() {
            return Math.min(CONNECT_MS, silenceMs);
        }
    }

    /** The same before the first list, ms: a process that has just started is slow itself. */
    private static final int CONNECT_MS = 1000;

    /** Takes in lines of the node list. */
    public interface Listener {
        /** The list, whole or only its changed entries; discovery's own time as it gave them, or 0 where it told none. */
        void told(boolean whole, List<Backend> lines, double discoveryNow);

        /** A call was answered, with or without news, which were told before. */
        default void heard() {}

        /** A call has brought no list that can be used: none at all, or one that is refused. */
        default void untold(boolean refused) {}
    }

    private final Vertx vertx;
    private final HttpClient client;
    private final Listener listener;
    /** Failed calls after which a list that has not come yet is not waited for: it does not answer. */
    private static final int FAILS_OF_SILENCE = 2;
    /** Calls that may come back late before a process that is always slow opens its front all the same. */
    private static final int MOST_LATE = 8;

    private final Promise<Void> first = Promise.promise();
    private final Promise<Void> firstWord = Promise.promise();
    private final RandomGenerator random;
    private PollSchedule pace;
    private HostAndPort address;
    /** How often the address has changed: what began at an earlier one is not heard any more. */
    private int moves;
    /** When it last changed, by {@link System#nanoTime}. */
    private long movedAt;

    private HttpClientRequest running;
    /** Discovery's own time as its last answer told it, in Unix milliseconds; 0 where it did not. */
    private double discoveryNow;

    private long index = NO_INDEX;
    private boolean silent;
    private boolean started;
    private int failsBeforeFirst;
    /** Somebody waits for a fresh list. */
    private boolean freshAwaited;

    private int late;
    /** An answer lay unread here while the process was held up, and what came after it is being asked for. */
    private boolean catchingUp;

    private final List<Runnable> whenCurrent = new ArrayList<>();

    /** Watches the list of backends at this address; {@link #start} begins. */
    public DiscoveryClient(
            Vertx vertx, HostAndPort address, DecisionSettings settings, RandomGenerator random, Listener listener) {
        this(vertx, address, PollSchedule.of(settings, random), random, listener);
    }

    /** Follows discovery at this address by this schedule; calls are not spread. */
    public DiscoveryClient(Vertx vertx, HostAndPort address, PollSchedule pace, Listener listener) {
        this(vertx, address, pace, null, listener);
    }

    private DiscoveryClient(
            Vertx vertx, HostAndPort address, PollSchedule pace, RandomGenerator random, Listener listener) {
        this.random = random;
        this.pace = pace;
        this.vertx = vertx;
        this.listener = listener;
        this.address = address;
        client = vertx.createHttpClient(new HttpClientOptions()
                .setKeepAlive(true)
                .setConnectTimeout(CONNECT_MS)
                .setDecompressionSupported(false));
    }

    /** Starts following with the whole list; the future succeeds once that has come, however many calls it takes. */
    public Future<Void> start() {
        return startFrom(NO_INDEX);
    }

    /**
     * Starts following with what changed since a version that is known. Guards a shared service after a release: each
     * gateway asks it for one watch, not for the whole list and then for a watch.
     */
    public Future<Void> startFrom(long known) {
        // A version of a discovery that was left before the start says nothing of this one.
        index = moves == 0 ? known : NO_INDEX;
        started = true;
        if (pace.firstAfterMs() > 0) {
            int move = moves;
            vertx.setTimer(pace.firstAfterMs(), due -> watchStill(move));
        } else {
            watch();
        }
        return first.future();
    }

    /**
     * Succeeds once a list is known, a fresh one where that is wanted, or once discovery does not answer. Guards nodes that were drained while this
     * process started, of which its agent's word counts as told from its first moment: while a call is on its way its answer
     * is waited for, and a list that was long on its way, as the first one of a process on a part of a core is, may have been
     * overtaken by a drain, so what came since is asked for. Where one service is asked by all gateways and is slow itself,
     * any list will do: nothing of it is told before it has answered.
     */
    public Future<Void> firstWord(boolean fresh) {
        freshAwaited = fresh;
        return firstWord.future();
    }

    /** A call that began then has been answered, and its list taken in. */
    private void heard(long askedAt) {
        if (!freshAwaited || msSince(askedAt) <= pace.freshMs() || ++late >= MOST_LATE) {
            firstWord.tryComplete();
        }
    }

    /** New settings are in force: calls from now on are made at their pace. */
    public void retune(DecisionSettings settings) {
        pace = PollSchedule.of(settings, random);
    }

    /** Follows discovery at another address from now on, whole list first; until that comes the last list holds. */
    public void moveTo(HostAndPort elsewhere) {
        if (elsewhere.equals(address)) {
            return;
        }
        Logger.info("discovery moves from {} to {}", address, elsewhere);
        address = elsewhere;
        // Guards against versions of two discoveries taken for one another's, and against a late answer of the old one.
        moves++;
        movedAt = System.nanoTime();
        pace.again().reset();
        catchUp(false);
        index = NO_INDEX;
        if (running != null) {
            running.reset();
        }
        // Before the start there is no watch to go on with, and the start's own is made at the new address.
        if (started) {
            watch();
        }
    }

    /**
     * Guards a drained node while the process was held up: the answer that lay unread ended the watch, and what the
     * agent learnt after it is told to the next call alone, though its grace has begun.
     */
    private void catchUp(boolean begins) {
        catchingUp = begins;
        if (!begins && !whenCurrent.isEmpty()) {
            List<Runnable> waiting = List.copyOf(whenCurrent);
            whenCurrent.clear();
            // Each by itself: the watch goes on whatever becomes of them.
            waiting.forEach(action -> vertx.runOnContext(run -> action.run()));
        }
    }

    @Override
    public boolean isCurrent() {
        return !catchingUp;
    }

    @Override
    public void whenCurrent(Runnable action) {
        if (catchingUp) {
            whenCurrent.add(action);
        } else {
            action.run();
        }
    }

    private static long msSince(long nanoTime) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanoTime);
    }

    private void next(boolean answered, long askedAt, int move) {
        if (move != moves) {
            return;
        }
        if (answered) {
            // Not within the end of the answer, when its connection is not free yet and a second would be opened.
            vertx.runOnContext(free -> watchStill(move));
        } else {
            long atMostMs = pace.waitAtMostMs(msSince(askedAt), moves, msSince(movedAt));
            vertx.setTimer(pace.again().next(atMostMs), due -> watchStill(move));
        }
    }

    private void watchStill(int move) {
        if (move == moves) {
            watch();
        }
    }

    /** The next call goes out once an answer is taken in: a watch lasts while it is renewed within 200 ms. */
    private void watch() {
        int move = moves;
        long askedAt = System.nanoTime();
        // Before the first word, and after the process was held up, nothing is waited for but what has come already.
        boolean noWait = catchingUp || freshAwaited && !firstWord.future().isComplete();
        int waitMs = noWait ? 1 : pace.waitMs();
        Future<Void> call = index < 0
                ? call("/v1/endpoints", pace.silenceMs(), askedAt, move)
                : call(
                        "/v1/endpoints?since=" + index + "&timeout_ms=" + waitMs,
                        waitMs + pace.silenceMs(),
                        askedAt,
                        move);
        call.onComplete(answer -> {
            if (answer.succeeded()) {
                heard(askedAt);
            }
            if (move == moves) {
                boolean lay = answer.succeeded() && msSince(askedAt) - waitMs > pace.lateMs();
                // Once for each such answer: a process that is always slow goes on all the same.
                catchUp(lay && !catchingUp);
            }
            next(answer.succeeded(), askedAt, move);
        });
    }

    /** The time for an answer, ms: a call whose connection was slow to come up ends no later than any other. */
    private long answerMs(int silenceMs, long askedAt) {
        // Before the front opens, counted from when the call has left: a process that has just started is slow itself.
        long connectedIn = firstWord.future().isComplete() ? msSince(askedAt) : 0;
        return Math.max(1, Math.min(silenceMs, pace.waitMs() + pace.silenceMs() - connectedIn));
    }

    private Future<Void> call(String uri, int silenceMs, long askedAt, int move) {
        return client.request(new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(address.address())
                        .setPort(address.port())
                        .setURI(uri)
                        .setConnectTimeout(firstWord.future().isComplete() ? pace.connectMs() : CONNECT_MS))
                .compose(request -> {
                    if (move != moves) {
                        request.reset();
                        return Future.failedFuture("discovery has moved");
                    }
                    running = request;
                    // Else Vert.x logs it as an error, without a word on which connection it was.
                    request.connection()
                            .exceptionHandler(e -> Logger.debug("discovery's connection broke: {}", e.getMessage()));
                    Future<Buffer> answer = request.send().compose(this::body);
                    // Guards against an answer that stops half way: the client's own idle time-out was seen not to end
                    // it.
                    long late = vertx.setTimer(answerMs(silenceMs, askedAt), due -> request.reset());
                    return answer.onComplete(done -> vertx.cancelTimer(late));
                })
                .compose(body -> move == moves ? take(body) : Future.failedFuture("discovery has moved"))
                .onFailure(reason -> failed(reason, move));
    }

    private Future<Buffer> body(HttpClientResponse response) {
        int status = response.statusCode();
        String date = response.getHeader(HttpHeaders.DATE);
        Date told = date == null ? null : DateFormatter.parseHttpDate(date);
        discoveryNow = told == null ? 0 : told.getTime();
        // The body is waited for in either case. Guards the client's few connections against refusals whose body never
        // comes: each would keep one, until no call could be made any more.
        Future<Buffer> whole = response.body();
        return status == 200 ? whole : whole.compose(body -> Future.failedFuture("status " + status));
    }

    /** Counts each call without a usable list; tells the first of each such time, not the calls made until one comes. */
    private void failed(Throwable reason, int move) {
        if (move != moves) {
            return;
        }
        boolean refused = reason instanceof InvalidConfigurationException;
        listener.untold(refused);
        if (++failsBeforeFirst >= FAILS_OF_SILENCE) {
            firstWord.tryComplete();
        }
        if (!silent) {
            silent = true;
            Logger.warn(
                    "{}: {}",
                    refused ? "a list of discovery is refused" : "discovery does not answer",
                    reason.getMessage());
        }
    }

    private Future<Void> take(Buffer body) {
        try {
            JsonFields list = JsonFields.parse(body.toString());
            List<Backend> lines = EndpointCodec.read(list.objects("endpoints"));
            long version = list.serial("index");
            boolean whole = list.flag("snapshot");
            if (!whole && version < index) {
                // Guards nodes that are known to be drained against changes of before their drain.
                long known = index;
                index = NO_INDEX;
                throw new InvalidConfigurationException(
                        "changes up to version " + version + " do not follow version " + known);
            }
            index = version;
            silent = false;
            pace.again().reset();
            if (whole || !lines.isEmpty()) {
                listener.told(whole, lines, discoveryNow);
            }
            listener.heard();
            first.tryComplete();
            return Future.succeededFuture();
        } catch (InvalidConfigurationException e) {
            return Future.failedFuture(e);
        }
    }
}
