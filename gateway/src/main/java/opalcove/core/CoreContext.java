package opalcove.core;

import io.vertx.core.Vertx;
import opalcove.config.Clock;
import opalcove.metrics.Counters;
import opalcove.metrics.InvariantMonitor;
import opalcove.metrics.Metrics;

/** The objects that the classes of the core share. All of them are used on one event loop only. */
record CoreContext(
        Vertx vertx,
        Clock clock,
        TimerQueue timers,
        SerialTaskQueue tasks,
        BackendTransport transport,
        EndpointList endpoints,
        AttemptGuard guard,
        ConfigGenerations generations,
        InFlightRequests requests,
        Counters counters,
        InvariantMonitor invariants,
        Metrics metrics) {}
