package opalcove.resp;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import opalcove.config.HostAndPort;
import opalcove.core.RequestDispatcher;
import opalcove.lifecycle.Application;
import opalcove.lifecycle.Lifecycle;
import opalcove.metrics.Errno;
import opalcove.metrics.SystemCall;
import org.tinylog.Logger;

/**
 * Accepts connections of RESP2 clients, up to a limit, and drains them. Owned by the event loop on which it is created.
 */
public final class RespServer {
    private static final int BACKLOG = 512;
    private static final long SWEEP_MS = 250;
    /**
     * The longest time the event loop sleeps: it cannot detect a pause of the process that is shorter than its sleep.
     */
    private static final long HEARTBEAT_MS = 100;
    /** How many connections may be accepted and not handled yet, in addition to the connections of a full server. */
    private static final int MAX_ACCEPTED_UNHANDLED = 2 * Application.ACCEPTS_AT_ONCE;

    private final Vertx vertx;
    private final RequestDispatcher dispatcher;
    private final DrainState drain;
    private final OpenConnections open;
    private final HalfOpenConnections halfOpen;
    private final ServerContext context;
    /** The listener of the last attempt to listen. */
    private NetServer listener;

    private Runnable whenDrained = () -> {};
    /** Whether connections that were established before the drain may still arrive from the accept backlog. */
    private boolean isEmptyingBacklog;

    /**
     * Creates a server that dispatches the requests of RESP2 clients to this dispatcher.
     *
     * @param maxConnections the maximum number of open client connections
     */
    public RespServer(Vertx vertx, RequestDispatcher dispatcher, Lifecycle lifecycle, int maxConnections) {
        this(vertx, dispatcher, lifecycle, maxConnections, MemoryBudget.ofThisProcess(vertx));
    }

    /** Creates a server that shares this memory budget with the connections to backends. */
    public RespServer(
            Vertx vertx, RequestDispatcher dispatcher, Lifecycle lifecycle, int maxConnections, MemoryBudget memory) {
        this.vertx = vertx;
        this.dispatcher = dispatcher;
        drain = new DrainState(lifecycle);
        open = new OpenConnections(maxConnections, drain, dispatcher);
        halfOpen = new HalfOpenConnections(maxConnections, drain);
        context = new ServerContext(
                vertx,
                dispatcher,
                drain,
                new CommandHandler(dispatcher, drain),
                new CommandScheduler(vertx),
                new DisconnectDetector(vertx, memory, dispatcher::clientCheckIncomplete),
                new BufferBudget(MemoryBudget.maxBufferedValueBytes()),
                memory,
                open,
                halfOpen,
                this::notifyIfDrained);
        memory.onAllocationFailure(failure -> dispatcher.allocationFailed());
        Application.limitAccepted(vertx, maxDescriptors(maxConnections));
        Context eventLoop = vertx.getOrCreateContext();
        // Failures are reported on the acceptor's thread, which has another context.
        Application.whenAcceptRefused(vertx, failure -> eventLoop.runOnContext(run -> acceptFailed(failure)));
        vertx.setPeriodic(SWEEP_MS, sweep -> closeIdle());
        vertx.setPeriodic(HEARTBEAT_MS, beat -> {});
    }

    /** Counts the failure, and frees a descriptor if the cause is a lack of descriptors. */
    private void acceptFailed(IOException failure) {
        dispatcher.systemCallFailed(SystemCall.ACCEPT, failure);
        if (Errno.of(failure).isShortOfDescriptors()) {
            open.closeLongestIdle();
        }
    }

    /** Returns the maximum number of open connections of a server that may use this many descriptors in total. */
    public static int maxConnectionsWithin(int descriptors) {
        int connections = Math.max(
                1,
                (descriptors - MAX_ACCEPTED_UNHANDLED)
                        * HalfOpenConnections.OPEN_PER_HALF_OPEN
                        / (HalfOpenConnections.OPEN_PER_HALF_OPEN + 1));
        return maxDescriptors(connections) > descriptors && connections > 1 ? connections - 1 : connections;
    }

    /** Returns the maximum number of descriptors of a server: for open, half-open and not yet handled connections. */
    public static int maxDescriptors(int maxConnections) {
        return maxConnections + HalfOpenConnections.maxFor(maxConnections) + MAX_ACCEPTED_UNHANDLED;
    }

    private void closeIdle() {
        open.refuseOverdue();
        open.closeIdle();
        halfOpen.closeExpired();
    }

    /** Returns the number of open connections, in use or idle. */
    int openCount() {
        return open.size();
    }

    /** Returns the number of connections whose output is closed and whose clients have not closed them yet. */
    int halfOpenCount() {
        return halfOpen.size();
    }

    /** Listens at the endpoint and returns the actual port. */
    public Future<Integer> listen(HostAndPort endpoint) {
        return listen(SocketAddress.inetSocketAddress(endpoint.port(), endpoint.address()))
                .map(NetServer::actualPort);
    }

    /** Listens at an address of any kind, such as a UNIX socket. */
    Future<NetServer> listen(SocketAddress address) {
        listener = vertx.createNetServer(new NetServerOptions()
                .setAcceptBacklog(BACKLOG)
                .setReuseAddress(true)
                .setReusePort(true));
        listener.connectHandler(this::connectionAccepted);
        return listener.listen(address);
    }

    private void connectionAccepted(NetSocket socket) {
        if (open.isFull() && !open.closeLongestIdle()) {
            Logger.debug("rejecting a new client connection: all {} connections are in use", open.size());
            dispatcher.clientConnectionClosedForDescriptors(true);
            socket.close();
            return;
        }
        open.add(new ClientConnection(socket, context));
    }

    /**
     * Starts or ends a drain that an administrator requests. During a drain PING reports it, so that no new connections
     * are sent to this gateway, and each connection is closed once no response is due on it. All responses are written.
     */
    public void setDrainRequested(boolean requested) {
        drain.request(requested);
        if (requested) {
            closeIdle();
        }
    }

    /** Stops listening, closes each connection on which no response is due, and runs the action once none is open. */
    public void drain(Runnable whenNoneOpen) {
        whenDrained = whenNoneOpen;
        isEmptyingBacklog = Application.stopListening(vertx, () -> {
            isEmptyingBacklog = false;
            closeIdle();
            notifyIfDrained();
        });
        if (!isEmptyingBacklog && listener != null) {
            // close() would cut the connections on which responses are still due.
            listener.shutdown(1, TimeUnit.HOURS);
        }
        // A connection that was just established or used may have a command in flight, so later sweeps close it.
        closeIdle();
        notifyIfDrained();
    }

    private void notifyIfDrained() {
        if (!isEmptyingBacklog && open.isEmpty() && halfOpen.isEmpty()) {
            whenDrained.run();
        }
    }
}
