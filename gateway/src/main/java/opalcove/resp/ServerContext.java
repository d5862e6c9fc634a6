package opalcove.resp;

import io.vertx.core.Vertx;
import opalcove.core.RequestDispatcher;

/**
 * The objects that the connections of one server share. All of them are owned by the server's event loop.
 *
 * @param commands executes the commands of all connections
 * @param connectionClosed is run each time a connection has been closed and removed
 */
record ServerContext(
        Vertx vertx,
        RequestDispatcher dispatcher,
        DrainState drain,
        CommandHandler commands,
        CommandScheduler scheduler,
        DisconnectDetector disconnects,
        BufferBudget streamBudget,
        MemoryBudget memory,
        OpenConnections open,
        HalfOpenConnections halfOpen,
        Runnable connectionClosed) {}
