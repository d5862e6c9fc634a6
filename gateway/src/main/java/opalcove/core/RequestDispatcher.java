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
import opalcove.metrics.SystemCall;
import opalcove.metrics.SystemCallFailures;

/**
 * The core: accepts requests from any front end, has the decision module choose, makes the attempts over any transport
 * and hands back exactly one final response. It knows no wire. All of it runs on one event loop, that of the constructor's
 * caller; {@link #metrics} alone may be read by other threads.
 */
public final class RequestDispatcher {
    private final CoreParts parts;
    private final long seed;
    private final SystemCallFailures systemCallFailures = new SystemCallFailures();
    private final BackendDirectory directory;
    private final RequestLifecycle lifecycle;
    private int reconfigurations;
    private Runnable beforeEachRequest;

    /**
     * Hosts a decision module with these settings on the event loop of the caller.
     *
     * @param seed of the module's random numbers
     */
    public RequestDispatcher(
            Vertx vertx, Clock clock, DecisionSettings settings, long seed, BackendTransport transport) {
        this.seed = seed;
        parts = parts(vertx, clock, settings, transport, systemCallFailures);
        directory = new BackendDirectory(parts);
        LoopHeartbeat heartbeat =
                new LoopHeartbeat(clock, parts.timers(), parts.generations(), directory::countAvoided);
        lifecycle = new RequestLifecycle(parts, heartbeat);
        transport.onLocalConnectFailure(failure -> systemCallFailed(SystemCall.CONNECT, failure));
        parts.generations().add(generation(settings, seed));
        heartbeat.schedule();
    }

    private static CoreParts parts(
            Vertx vertx,
            Clock clock,
            DecisionSettings settings,
            BackendTransport transport,
            SystemCallFailures systemCallFailures) {
        TurnQueue turns = new TurnQueue();
        EndpointList endpoints = new EndpointList();
        InvariantMonitor invariants = new InvariantMonitor();
        Metrics metrics = new Metrics(invariants, systemCallFailures);
        return new CoreParts(
                vertx,
                clock,
                new TimerQueue(vertx, clock),
                turns,
                transport,
                endpoints,
                new AttemptGuard(settings, endpoints),
                new ConfigGenerations(),
                new InFlightRequests(metrics, turns),
                new Counters(),
                invariants,
                metrics);
    }

    private ConfigGeneration generation(DecisionSettings settings, long moduleSeed) {
        return new ConfigGeneration(
                settings,
                parts.clock().now(),
                moduleSeed,
                generation -> new ModuleActions(generation, parts, lifecycle));
    }

    // Requests.

    /** Serves a request that was just received. */
    public RequestHandle dispatch(Request request, ResponseHandler handler) {
        return dispatch(request, handler, 0);
    }

    /**
     * Serves a request that may have lain unread here for so long, ms: its client has been waiting since. That time is
     * taken off the time that is left, so no backend gets a longer deadline.
     *
     * @return null where the response was given at once
     */
    public RequestHandle dispatch(Request request, ResponseHandler handler, double unreadMs) {
        parts.counters().received++;
        if (beforeEachRequest != null) {
            beforeEachRequest.run();
        }
        return lifecycle.dispatch(request, handler, unreadMs);
    }

    /** Has this run before each request is accepted: a process that stood still may have settings that hold no more. */
    public void beforeEachRequest(Runnable check) {
        beforeEachRequest = check;
    }

    /** What a request must be like; a front end reads it by these rules before it has it served. */
    public RequestValidator requestValidator() {
        return parts.generations().newest().validator;
    }

    // Settings.

    /**
     * Applies new settings, which the caller has validated: requests from now on are read and decided by them, requests
     * in flight keep theirs, and every request is held to the new number of attempts. Settings equal to the newest change
     * nothing.
     */
    public void applySettings(DecisionSettings next) {
        if (next.equals(settings())) {
            return;
        }
        parts.guard().applyLimits(next);
        ConfigGeneration generation = generation(next, seed + ++reconfigurations);
        parts.generations().add(generation);
        directory.introduceTo(generation);
    }

    /** The newest settings. */
    public DecisionSettings settings() {
        return parts.generations().newest().settings;
    }

    /** The longest that a request may wait, under the newest settings and those of open requests, ms. */
    public long maxDeadlineMs() {
        return parts.generations().maxDeadlineMs();
    }

    // Backends.

    /** Takes in the endpoint list, complete or its changed entries, from a source that was reached just now. */
    public void endpointsChanged(boolean complete, List<Backend> entries) {
        endpointsChanged(complete, entries, 0);
        endpointSourceContacted();
    }

    /**
     * The same by discovery; {@link #endpointSourceContacted} follows.
     *
     * @param sourceNowMs the time of discovery's own clock as it gave the list, or 0 where it is not known
     */
    public void endpointsChanged(boolean complete, List<Backend> entries, double sourceNowMs) {
        directory.endpointsChanged(complete, entries, sourceNowMs);
    }

    /** The source of the endpoint list was reached, with or without changes. */
    public void endpointSourceContacted() {
        directory.sourceContacted();
    }

    /** Discovery was polled and gave no list that can be used: none at all, or one that was rejected. */
    public void endpointUpdateFailed(boolean rejected) {
        if (rejected) {
            parts.counters().endpointListsRejected++;
        } else {
            parts.counters().endpointPollsFailed++;
        }
    }

    /** Has attempts wait while this source of the endpoint list is not current. */
    public void endpointSource(EndpointSource source) {
        lifecycle.endpointSource(source);
    }

    /** The endpoint list as last received. */
    public List<Backend> backends() {
        return directory.all();
    }

    /** What the newest module would give each backend now. */
    List<CapacityShare> capacityShares() {
        return directory.capacityShares();
    }

    // Shutdown.

    /**
     * The process will end so many ms from now: a request accepted from here on gets its response before that, and one for
     * which there is no time left is refused at once.
     */
    public void beginShutdown(double remainingMs) {
        lifecycle.processEndsIn(remainingMs);
    }

    /** Runs the action once no request is open, which may be now. */
    public void whenIdle(Runnable action) {
        parts.requests().whenIdle(action);
    }

    // Events that are counted.

    /** A front end has closed a client's connection. */
    public void clientConnectionClosed(ConnectionCloseReason reason) {
        parts.counters().closed(reason);
    }

    /** A front end has closed a client's connection for want of descriptors: an idle one, or a new one that was not read. */
    public void clientConnectionClosedForDescriptors(boolean isNew) {
        if (isNew) {
            parts.counters().connectionsRefusedForDescriptors++;
        } else {
            parts.counters().connectionsClosedForDescriptors++;
        }
        parts.metrics().connectionClosedForDescriptors(isNew);
    }

    /** A system call has failed, as it may for a moment. */
    public void systemCallFailed(SystemCall call, Throwable failure) {
        systemCallFailures.failed(call, failure);
    }

    /** A front end has joined a redelivery to the request in flight, or to its response. */
    public void redeliveryJoined() {
        parts.counters().joined++;
    }

    /** The invariants as they are checked here: who closes a connection reports what it violates. */
    public InvariantMonitor invariants() {
        return parts.invariants();
    }

    /** The counters, and what is open at this moment; one name and figure a line. */
    public String infoLines() {
        return parts.counters().infoLines() + parts.invariants().infoLines() + systemCallFailures.infoLines()
                + "asks_open="
                + parts.requests().count() + "\nlinks_open=" + parts.transport().openConnections() + "\nlinks_resting="
                + parts.transport().idleConnections() + "\n";
    }

    /** The figures for operators, which other threads may read. */
    public Metrics metrics() {
        return parts.metrics();
    }
}
