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

/** Accepts the connections of RESP2 clients, up to a limit, and drains them. Owned by the event loop it is made on. */
public final class RespServer {
    private static final int BACKLOG = 512;
    private static final long SWEEP_MS = 250;
    /** How often the event loop wakes up at least: it cannot detect a pause of the process shorter than its sleep. */
    private static final long HEARTBEAT_MS = 100;
    /** Connections that may be accepted and not handled yet, beside a full server. */
    private static final int MAX_ACCEPTED_UNHANDLED = 2 * Application.ACCEPTS_AT_ONCE;

    private final Vertx vertx;
    private final RequestDispatcher dispatcher;
    private final DrainState drain;
    private final OpenConnections open;
    private final HalfOpenConnections halfOpen;
    private final ServerContext context;
    /** Of the last attempt to listen. */
    private NetServer listener;

    private Runnable whenDrained = () -> {};
    /** Draining, and connections that were established before may still be handed over. */
    private boolean isEmptyingBacklog;

    /**
     * Serves RESP2 clients from this dispatcher.
     *
     * @param maxConnections how many client connections may be open at once
     */
    public RespServer(Vertx vertx, RequestDispatcher dispatcher, Lifecycle lifecycle, int maxConnections) {
        this.vertx = vertx;
        this.dispatcher = dispatcher;
        drain = new DrainState(lifecycle);
        open = new OpenConnections(maxConnections, drain, dispatcher);
        halfOpen = new HalfOpenConnections(maxConnections);
        context = new ServerContext(
                vertx,
                dispatcher,
                drain,
                new CommandHandler(dispatcher, drain),
                new DisconnectDetector(vertx),
                new BufferBudget(),
                open,
                halfOpen,
                this::notifyIfDrained);
        Application.limitAccepted(vertx, maxDescriptors(maxConnections));
        Context eventLoop = vertx.getOrCreateContext();
        // Reported on the acceptor's thread, whose own context is not this one.
        Application.whenAcceptRefused(vertx, failure -> eventLoop.runOnContext(run -> acceptFailed(failure)));
        vertx.setPeriodic(SWEEP_MS, sweep -> closeIdle());
        vertx.setPeriodic(HEARTBEAT_MS, beat -> {});
    }

    /** Frees a descriptor where it is descriptors that the system is short of. */
    private void acceptFailed(IOException failure) {
        dispatcher.systemCallFailed(SystemCall.ACCEPT, failure);
        if (Errno.of(failure).isShortOfDescriptors()) {
            open.closeLongestIdle();
        }
    }

    /** How many open connections a server may have that holds no more than so many descriptors in all. */
    public static int maxConnectionsWithin(int descriptors) {
        int connections = Math.max(
                1,
                (descriptors - MAX_ACCEPTED_UNHANDLED)
                        * HalfOpenConnections.OPEN_PER_HALF_OPEN
                        / (HalfOpenConnections.OPEN_PER_HALF_OPEN + 1));
        return maxDescriptors(connections) > descriptors && connections > 1 ? connections - 1 : connections;
    }

    /** The descriptors that a server of so many connections holds at most: open, half open and accepted ahead. */
    public static int maxDescriptors(int maxConnections) {
        return maxConnections + HalfOpenConnections.maxFor(maxConnections) + MAX_ACCEPTED_UNHANDLED;
    }

    private void closeIdle() {
        open.closeIdle();
        halfOpen.closeExpired();
    }

    /** The number of open connections, in use or idle. */
    int openCount() {
        return open.size();
    }

    /** The number of connections whose output was closed here and which are not closed yet. */
    int halfOpenCount() {
        return halfOpen.size();
    }

    /** Listens at the endpoint; gives the port. */
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
            Logger.debug("closing a new client connection: {} are open and in use", open.size());
            dispatcher.clientConnectionClosedForDescriptors(true);
            socket.close();
            return;
        }
        open.add(new ClientConnection(socket, context));
    }

    /**
     * Begins or ends a drain that an administrator requests. During it PING reports the drain, so that no new
     * connections are sent here, and every connection is closed once no response is due on it. All responses are given.
     */
    public void setDrainRequested(boolean requested) {
        drain.request(requested);
        if (requested) {
            closeIdle();
        }
    }

    /** Takes no new connections, closes each on which no response is due, and runs the action once none is open. */
    public void drain(Runnable whenNoneOpen) {
        whenDrained = whenNoneOpen;
        isEmptyingBacklog = Application.stopListening(vertx, () -> {
            isEmptyingBacklog = false;
            closeIdle();
            notifyIfDrained();
        });
        if (!isEmptyingBacklog && listener != null) {
            // Not close(), which would cut the connections on which responses are still due.
            listener.shutdown(1, TimeUnit.HOURS);
        }
        // One that was established or used just now may have its next command in flight: later sweeps close it.
        closeIdle();
        notifyIfDrained();
    }

    private void notifyIfDrained() {
        if (!isEmptyingBacklog && open.isEmpty() && halfOpen.isEmpty()) {
            whenDrained.run();
        }
    }
}
