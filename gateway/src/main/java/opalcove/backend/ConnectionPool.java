package opalcove.backend;

import io.netty.util.concurrent.EventExecutor;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import opalcove.config.Backend;
import opalcove.config.InvalidConfigurationException;
import opalcove.core.AttemptResult;
import opalcove.core.BackendTransport;
import opalcove.core.Request;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionSettings;
import opalcove.metrics.Errno;
import opalcove.transport.DescriptorCounter;
import org.tinylog.Logger;

/**
 * Pools the connections to the backends over any wire protocol. A connection carries one attempt at a time, so that no
 * reply waits behind another and an attempt can be cancelled, visibly to its backend, by closing its connection.
 * Connections are reused, the most recently used first. Used on the event loop only.
 */
public final class ConnectionPool implements BackendTransport {
    /**
     * An idle connection is closed here after this fraction of the backends' idle timeout. Writing to a connection that
     * its backend has just closed would end as a reset, after which the attempt may have run. The fraction is low
     * because a backend may close connections earlier than configured.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.5;
    /** An idle connection may be reused without a check within this fraction of the backends' idle timeout. */
    private static final double UNCHECKED_REUSE_FRACTION = 1.0 / 30;

    private static final double DEFAULT_IDLE_TIMEOUT_MS = 10_000;
    private static final long SWEEP_INTERVAL_MS = 1000;
    /** Idle connections are closed once all but one in this many of the allowed connections are open. */
    private static final int SPARE_CONNECTIONS_DIVISOR = 8;

    /**
     * How long an attempt waits before it retries to get a connection after this machine had no capacity for a new one,
     * ms. The wait doubles each time up to a maximum, and its total is limited by the connect timeout.
     */
    private static final long MIN_CAPACITY_RETRY_DELAY_MS = 1;

    private static final long MAX_CAPACITY_RETRY_DELAY_MS = 16;

    private final Vertx vertx;
    private final EventExecutor loop;
    private final Connector connector;
    private final int maxConnections;
    /** Connections are kept idle rather than closed while no more than this many are open. */
    private final int maxOpenToKeepIdle;

    private final double idleTimeoutMs;
    private final double maxCapacityWaitMs;
    private final ReusePolicy reusePolicy;
    private final SettlingQueue settling;
    /** By backend name. A pool is removed when its backend is retired. */
    private final Map<String, HostPool> hostPools = new HashMap<>();
    /** Counts the descriptors that the connections hold, including those that were closed just now. */
    private final DescriptorCounter descriptors = new DescriptorCounter();

    private Consumer<Throwable> localFailureAction = failure -> {};
    private int openCount;

    /**
     * Creates a pool without connections.
     *
     * @param maxConnections how many connections may be open at once
     */
    public ConnectionPool(Vertx vertx, DecisionSettings settings, Connector connector, int maxConnections) {
        this.vertx = vertx;
        loop = DescriptorCounter.loopOf(vertx);
        this.connector = connector;
        this.maxConnections = maxConnections;
        maxOpenToKeepIdle = Math.max(1, maxConnections - Math.max(1, maxConnections / SPARE_CONNECTIONS_DIVISOR));
        maxCapacityWaitMs = settings.limits().connectTimeoutMs();
        double configuredMs = settings.limits().idleCloseMs();
        double backendIdleTimeoutMs = configuredMs > 0 ? configuredMs : DEFAULT_IDLE_TIMEOUT_MS;
        idleTimeoutMs = backendIdleTimeoutMs * IDLE_TIMEOUT_FRACTION;
        reusePolicy = new ReusePolicy(backendIdleTimeoutMs * UNCHECKED_REUSE_FRACTION);
        settling = new SettlingQueue(vertx);
        vertx.setPeriodic(SWEEP_INTERVAL_MS, swept -> closeIdleTimedOut());
    }

    @Override
    public Attempt startAttempt(Backend backend, Request request, double timeoutMs, AttemptListener listener) {
        PooledCall call = new PooledCall(request, timeoutMs, listener);
        assign(backend, call, MIN_CAPACITY_RETRY_DELAY_MS);
        return call;
    }

    @Override
    public void checkReachable(Backend backend, Consumer<Boolean> reached) {
        if (!hasCapacity()) {
            reached.accept(false);
            return;
        }
        HostPool hostPool = hostPool(backend);
        open(backend).onComplete(opened -> {
            if (opened.failed()) {
                connectionClosed();
            } else {
                new PooledConnection(this, hostPool, opened.result()).makeIdle();
            }
            reached.accept(opened.succeeded());
        });
    }

    @Override
    public void onLocalConnectFailure(Consumer<Throwable> action) {
        localFailureAction = action;
    }

    @Override
    public void retire(Backend backend) {
        HostPool hostPool = hostPools.remove(backend.name());
        if (hostPool != null) {
            hostPool.acceptsConnections = false;
            hostPool.closeIdle();
        }
    }

    @Override
    public int openConnections() {
        return openCount;
    }

    @Override
    public int idleConnections() {
        return hostPools.values().stream()
                .mapToInt(hostPool -> hostPool.idle.size())
                .sum();
    }

    // Connections for attempts.

    /**
     * Sends the call on an idle connection or a new one. If this machine has no capacity for a new connection now,
     * retries after a wait, so that neither is the backend blamed nor does the request fail for a shortage of this
     * machine.
     */
    private void assign(Backend backend, PooledCall call, long retryDelayMs) {
        HostPool hostPool = hostPool(backend);
        PooledConnection idle = takeIdle(hostPool);
        if (idle != null) {
            call.sendOn(idle);
            return;
        }
        boolean hasCapacity = hasCapacity();
        evictIdle();
        if (hasCapacity) {
            call.setConnecting(true);
            connect(backend, hostPool, call, retryDelayMs);
        } else {
            retryAssignment(backend, call, retryDelayMs);
        }
    }

    private void retryAssignment(Backend backend, PooledCall call, long retryDelayMs) {
        call.setConnecting(false);
        if (call.ageMs() + retryDelayMs > maxCapacityWaitMs) {
            call.finish(AttemptResult.withoutReport(AttemptStatus.NOT_SENT));
            return;
        }
        vertx.setTimer(retryDelayMs, due -> {
            if (call.isStillWanted()) {
                assign(backend, call, Math.min(2 * retryDelayMs, MAX_CAPACITY_RETRY_DELAY_MS));
            }
        });
    }

    /**
     * Returns an idle connection, or null. A connection that needs a check is skipped if its backend has closed it, or
     * if a second reply to its previous attempt has arrived, which would be taken for the reply to this one. Neither
     * may have been read yet.
     */
    private PooledConnection takeIdle(HostPool hostPool) {
        long nowNanos = System.nanoTime();
        PooledConnection idle = hostPool.idle.pollFirst();
        while (idle != null && reusePolicy.needsCheck(idle, nowNanos) && !idle.isAlive()) {
            idle = hostPool.idle.pollFirst();
        }
        return idle;
    }

    private void connect(Backend backend, HostPool hostPool, PooledCall call, long retryDelayMs) {
        open(backend).onComplete(opened -> {
            if (opened.succeeded()) {
                call.connected(new PooledConnection(this, hostPool, opened.result()));
                return;
            }
            connectionClosed();
            if (Errno.of(opened.cause()).isOfThisMachine()) {
                localFailureAction.accept(opened.cause());
                retryAssignment(backend, call, retryDelayMs);
            } else {
                call.finish(AttemptResult.withoutReport(AttemptStatus.UNREACHABLE));
            }
        });
    }

    /** Opens a connection, which counts as open from now until {@link #connectionClosed}. */
    private Future<BackendConnection> open(Backend backend) {
        openCount++;
        descriptors.opened();
        try {
            return connector.connect(backend.address());
        } catch (InvalidConfigurationException e) {
            // An endpoint list with an unusable address must not fail the request; that backend counts as unreachable.
            Logger.warn("cannot connect to a backend: {}", e.getMessage());
            return Future.failedFuture(e);
        }
    }

    private HostPool hostPool(Backend backend) {
        return hostPools.computeIfAbsent(backend.name(), name -> new HostPool());
    }

    // Capacity.

    /** Whether a connection may be opened without taking the descriptors that client connections need. */
    private boolean hasCapacity() {
        return descriptors.held() < maxConnections;
    }

    /**
     * Closes the connection that has been idle longest if nearly all allowed connections are open. Otherwise idle
     * connections to other backends could use up the capacity, and a backend without a connection could not be reached.
     */
    private void evictIdle() {
        if (openCount < maxOpenToKeepIdle) {
            return;
        }
        PooledConnection longestIdle = null;
        for (HostPool hostPool : hostPools.values()) {
            PooledConnection last = hostPool.idle.peekLast();
            if (last != null && (longestIdle == null || last.isIdleLongerThan(longestIdle))) {
                longestIdle = last;
            }
        }
        if (longestIdle != null) {
            longestIdle.close();
        }
    }

    private void closeIdleTimedOut() {
        long nowNanos = System.nanoTime();
        for (HostPool hostPool : hostPools.values()) {
            while (!hostPool.idle.isEmpty() && hostPool.idle.peekLast().idleMs(nowNanos) > idleTimeoutMs) {
                hostPool.idle.pollLast().close();
            }
        }
    }

    // Events of the connections.

    /** Called when a connection has closed or could not be opened. */
    void connectionClosed() {
        openCount--;
        descriptors.closed(loop);
    }

    /** Whether a connection that carries no attempt may stay open. */
    boolean mayKeepIdle() {
        return reusePolicy.isReuseAllowed() && openCount <= maxOpenToKeepIdle;
    }

    /** Called when a connection has delivered a reply; it becomes idle once no more input can follow that reply. */
    void settle(PooledConnection connection) {
        settling.add(connection);
    }

    /**
     * Called when a reused connection has broken during an attempt. Each attempt then gets a new connection for a
     * while.
     */
    void suspendReuse() {
        reusePolicy.suspend();
        hostPools.values().forEach(HostPool::closeIdle);
    }

    ReusePolicy reusePolicy() {
        return reusePolicy;
    }
}
