package opalcove.admin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import opalcove.config.HostAndPort;
import opalcove.lifecycle.Application;
import org.tinylog.Logger;

/**
 * Serves the commands of administrators at the address of the admin console, one command per connection. A command is
 * one line of limited length; nothing after it is read. The server runs on an event loop of its own, so that the work
 * for clients does not delay it.
 */
public final class AdminServer {
    /** The maximum length of a command, including its line feed. */
    static final int MAX_COMMAND_BYTES = 256;
    /** A connection is closed if it has not sent a complete command within this time. */
    static final long COMMAND_TIMEOUT_MS = 5000;
    /**
     * The maximum number of open connections, which limits the descriptors used; a new connection replaces the oldest
     * one.
     */
    static final int MAX_CONNECTIONS = 16;
    /**
     * The maximum number of descriptors: open connections, connections accepted but not yet handled, and the listening
     * socket.
     */
    public static final int MAX_DESCRIPTORS = MAX_CONNECTIONS + Application.ACCEPTS_AT_ONCE + 1;

    private static final int INITIAL_LINE_BYTES = 64;

    private final Vertx vertx;
    private final AdminCommands commands;
    private final NetServer server;
    /** The connections without a response yet, the oldest first. */
    private final Set<NetSocket> openConnections = new LinkedHashSet<>();

    /** Creates a server of commands for this target, on an event loop that has no other work. */
    public AdminServer(Vertx ownEventLoop, AdminTarget target) {
        vertx = ownEventLoop;
        commands = new AdminCommands(target);
        Application.limitAccepted(ownEventLoop, MAX_DESCRIPTORS - 1);
        server = ownEventLoop.createNetServer(new NetServerOptions().setReuseAddress(true));
        server.connectHandler(this::connectionAccepted);
    }

    /** Listens at this address and returns the port. */
    public Future<Integer> listen(HostAndPort address) {
        return server.listen(SocketAddress.inetSocketAddress(address.port(), address.address()))
                .map(NetServer::actualPort);
    }

    private void connectionAccepted(NetSocket socket) {
        if (openConnections.size() >= MAX_CONNECTIONS) {
            NetSocket oldest = openConnections.iterator().next();
            openConnections.remove(oldest);
            oldest.close();
        }
        openConnections.add(socket);
        ByteBuf line = Unpooled.buffer(INITIAL_LINE_BYTES, MAX_COMMAND_BYTES);
        long timeout = vertx.setTimer(COMMAND_TIMEOUT_MS, due -> respondAndClose(socket, null));
        socket.closeHandler(closed -> {
            openConnections.remove(socket);
            vertx.cancelTimer(timeout);
            line.release();
        });
        socket.exceptionHandler(e -> Logger.debug("an admin connection failed: {}", e.getMessage()));
        socket.handler(bytes -> bytesRead(socket, bytes, line, timeout));
    }

    private void bytesRead(NetSocket socket, Buffer bytes, ByteBuf line, long timeout) {
        if (!openConnections.contains(socket)) {
            return;
        }
        for (int i = 0; i < bytes.length(); i++) {
            byte next = bytes.getByte(i);
            if (next == '\n') {
                vertx.cancelTimer(timeout);
                socket.pause();
                respondAndClose(
                        socket,
                        commands.execute(
                                line.toString(StandardCharsets.US_ASCII).strip()));
                return;
            }
            if (!line.isWritable()) {
                respondAndClose(socket, commands.rejectOverlong(MAX_COMMAND_BYTES));
                return;
            }
            line.writeByte(next);
        }
    }

    /** Writes the response and closes the connection afterwards; without a response (null) closes it immediately. */
    private void respondAndClose(NetSocket socket, String response) {
        if (!openConnections.remove(socket)) {
            return;
        }
        if (response == null) {
            socket.close();
        } else {
            socket.end(Buffer.buffer(response, "US-ASCII"));
        }
    }
}
