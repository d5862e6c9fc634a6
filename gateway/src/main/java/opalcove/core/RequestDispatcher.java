package opalcove.core;

import io.vertx.core.Vertx;
import java.util.List;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.decision.CapacityShare;
import opalcove.decision.DecisionSettings;
import opalcove.metrics.ConnectionCloseReason;
import opalcove.metrics.Counters;
import opalcove.metrics.InvariantMonitor;
import opalcove.metrics.Metrics;
import opalcove.metrics.ShedReason;
import opalcove.metrics.SystemCall;
import opalcove.metrics.SystemCallFailures;

/**
 * The entry to the core. It accepts requests from any front end, lets the decision module choose, makes the attempts
 * over any transport and returns exactly one final response for each request. It is independent of the wire protocol.
 * All of it runs on one event loop, that of the constructor's caller; only {@link #metrics} may be read by other
 * threads.
 */
public final class RequestDispatcher {
    private final CoreContext context;
    private final long seed;
    private final SystemCallFailures systemCallFailures = new SystemCallFailures();
    private final BackendDirectory directory;
    private final RequestLifecycle lifecycle;
    private int reconfigurations;
    private Runnable beforeEachRequest;

    /**
     * Creates a dispatcher with a decision module for these settings, on the event loop of the caller.
     *
     * @param seed the seed of the module's random numbers
     */
    public RequestDispatcher(
            Vertx vertx, Clock clock, DecisionSettings settings, long seed, BackendTransport transport) {
        this.seed = seed;
        context = createContext(vertx, clock, settings, transport, systemCallFailures);
        directory = new BackendDirectory(context);
        LoopHeartbeat heartbeat =
                new LoopHeartbeat(clock, context.timers(), context.generations(), directory::updateAvoidedBackends);
        lifecycle = new RequestLifecycle(context, heartbeat);
        transport.onLocalConnectFailure(failure -> systemCallFailed(SystemCall.CONNECT, failure));
        context.generations().add(generation(settings, seed));
        heartbeat.schedule();
    }

    private static CoreContext createContext(
            Vertx vertx,
            Clock clock,
            DecisionSettings settings,
            BackendTransport transport,
            SystemCallFailures systemCallFailures) {
        SerialTaskQueue tasks = new SerialTaskQueue();
        EndpointList endpoints = new EndpointList();
        InvariantMonitor invariants = new InvariantMonitor();
        Metrics metrics = new Metrics(invariants, systemCallFailures);
        return new CoreContext(
                vertx,
                clock,
                new TimerQueue(vertx, clock),
                tasks,
                transport,
                endpoints,
                new AttemptGuard(settings, endpoints),
                new ConfigGenerations(),
                new InFlightRequests(metrics, tasks),
                new Counters(),
                invariants,
                metrics);
    }

    private ConfigGeneration generation(DecisionSettings settings, long moduleSeed) {
        return new ConfigGeneration(
                settings,
                context.clock().now(),
                moduleSeed,
                generation -> new ModuleActions(generation, context, lifecycle));
    }

    // Requests.

    /** Dispatches a request that was just received. */
    public RequestHandle dispatch(Request request, ResponseHandler handler) {
        return dispatch(request, handler, 0);
    }

    /**
     * Dispatches a request whose bytes may have waited unread in this process for {@code unreadMs}. Its client has been
     * waiting since, so that time is subtracted from the request's timeout, and no backend gets a longer deadline than
     * the client has left.
     *
     * @return null if the response was given within this call
     */
    public RequestHandle dispatch(Request request, ResponseHandler handler, double unreadMs) {
        context.counters().received++;
        if (beforeEachRequest != null) {
            beforeEachRequest.run();
        }
        return lifecycle.dispatch(request, handler, unreadMs);
    }

    /**
     * Refuses a request that a front end has not read completely and that therefore was not dispatched.
     *
     * @param requestClass the class that the request names, or null if that is not known
     */
    public void refuse(String requestClass, ResponseHandler handler, ShedReason reason) {
        context.counters().received++;
        lifecycle.refuse(requestClass, handler, reason);
    }

    /**
     * Sets an action that runs before each request is accepted. After a pause of the process, its settings may no
     * longer be valid, and the action can detect that.
     */
    public void beforeEachRequest(Runnable check) {
        beforeEachRequest = check;
    }

    /**
     * Returns the rules that a request must satisfy. A front end decodes a request by them before it dispatches the
     * request.
     */
    public RequestValidator requestValidator() {
        return context.generations().newest().validator;
    }

    // Settings.

    /**
     * Applies new settings, which the caller has validated. Later requests are decoded and decided by them, and
     * requests in flight keep their settings, but the new maximum number of attempts applies to every request. Settings
     * equal to the newest ones change nothing.
     */
    public void applySettings(DecisionSettings next) {
        if (next.equals(settings())) {
            return;
        }
        context.guard().applyLimits(next);
        ConfigGeneration generation = generation(next, seed + ++reconfigurations);
        context.generations().add(generation);
        directory.sendCompleteListTo(generation);
    }

    /** Returns the newest settings. */
    public DecisionSettings settings() {
        return context.generations().newest().settings;
    }

    /** Returns the longest deadline of a request under the newest settings and those of open requests, ms. */
    public long maxDeadlineMs() {
        return context.generations().maxDeadlineMs();
    }

    // Backends.

    /** Applies the endpoint list, complete or only its changed entries, from a source that was reached just now. */
    public void endpointsChanged(boolean complete, List<Backend> entries) {
        endpointsChanged(complete, entries, 0);
        endpointSourceContacted();
    }

    /**
     * Applies the endpoint list from discovery; the caller then calls {@link #endpointSourceContacted}.
     *
     * @param sourceNowMs the time of discovery's own clock when it sent the list, Unix ms, or 0 if it is not known
     */
    public void endpointsChanged(boolean complete, List<Backend> entries, double sourceNowMs) {
        directory.endpointsChanged(complete, entries, sourceNowMs);
    }

    /** Records that the source of the endpoint list was reached, with or without changes. */
    public void endpointSourceContacted() {
        directory.sourceContacted();
    }

    /** Counts a poll of discovery that returned no usable list: either none at all, or one that was rejected. */
    public void endpointUpdateFailed(boolean rejected) {
        if (rejected) {
            context.counters().endpointListsRejected++;
        } else {
            context.counters().endpointPollsFailed++;
        }
    }

    /** Sets the source of the endpoint list; attempts wait while it is not current. */
    public void endpointSource(EndpointSource source) {
        lifecycle.endpointSource(source);
    }

    /** Returns the endpoint list as last received. */
    public List<Backend> backends() {
        return directory.all();
    }

    /** Returns the capacity share that the newest module would assign to each backend now. */
    List<CapacityShare> capacityShares() {
        return directory.capacityShares();
    }

    // Shutdown.

    /**
     * Announces that the process ends in {@code remainingMs}. A request accepted from now on gets its response before
     * that; one for which too little time is left is refused immediately.
     */
    public void beginShutdown(double remainingMs) {
        lifecycle.processEndsIn(remainingMs);
    }

    /** Runs the action once no request is open, possibly within this call. */
    public void whenIdle(Runnable action) {
        context.requests().whenIdle(action);
    }

    // Counted events.

    /** Counts a client connection that a front end has closed. */
    public void clientConnectionClosed(ConnectionCloseReason reason) {
        context.counters().closed(reason);
    }

    /**
     * Counts a client connection that a front end has closed because descriptors ran short: an idle one, or a new one
     * that was not read.
     */
    public void clientConnectionClosedForDescriptors(boolean isNew) {
        if (isNew) {
            context.counters().connectionsRefusedForDescriptors++;
        } else {
            context.counters().connectionsClosedForDescriptors++;
        }
        context.metrics().connectionClosedForDescriptors(isNew);
    }

    /** Counts an attempt that is not made because it is not known whether its client is still connected. */
    public void clientCheckIncomplete() {
        context.counters().clientChecksIncomplete++;
    }

    /** Counts that a connection is not read until memory is available. */
    public void readPausedForMemory() {
        context.counters().readsPausedForMemory++;
    }

    /** Counts an allocation that has failed. */
    public void allocationFailed() {
        context.counters().allocationsFailed++;
    }

    /** Counts a failed system call; such failures may be temporary. */
    public void systemCallFailed(SystemCall call, Throwable failure) {
        systemCallFailures.failed(call, failure);
    }

    /** Counts a redelivered request that a front end has joined to the request in flight or to its response. */
    public void redeliveryJoined() {
        context.counters().joined++;
    }

    /**
     * Returns the monitor of the invariants. A front end that closes a connection reports to it the invariant that this
     * violates.
     */
    public InvariantMonitor invariants() {
        return context.invariants();
    }

    /** Returns the counters and the numbers of open requests and connections, one name and value a line. */
    public String infoLines() {
        return context.counters().infoLines() + context.invariants().infoLines() + systemCallFailures.infoLines()
                + "asks_open="
                + context.requests().count() + "\nlinks_open="
                + context.transport().openConnections() + "\nlinks_resting="
                + context.transport().idleConnections() + "\n";
    }

    /** Returns the metrics, which other threads may read. */
    public Metrics metrics() {
        return context.metrics();
    }
}
