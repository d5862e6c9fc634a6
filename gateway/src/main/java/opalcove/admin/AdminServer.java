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
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import opalcove.config.HostAndPort;
import opalcove.lifecycle.Application;
import org.tinylog.Logger;

/**
 * The operators' door: a second address, one call a connection. A call is one line; its answer is one line that starts
 * with {@code +OK} or {@code -ERR}, and for {@code STATS} the figures follow, ended by a line {@code .}. It runs on an
 * event loop of its own, so that no client work stands before it, and reads at most a line of its own size.
 */
public final class AdminServer {
    /** The longest call, with its line end, bytes. */
    static final int LONGEST_CALL = 256;
    /** A connection that has not brought a whole call by then is closed, ms. */
    static final long CALL_WAIT_MS = 5000;
    /** Guards the descriptors: the most connections open at once; the oldest goes for a new one. */
    static final int MOST_OPEN = 16;
    /** What the door holds at most: its connections, those accepted and not yet handled, and its listening socket. */
    public static final int MOST_DESCRIPTORS = MOST_OPEN + Application.ACCEPTS_AT_ONCE + 1;

    /** What the door acts on; each is called on the door's own thread and must not wait. */
    public interface Gateway {
        /** Null where this process takes clients, else why not. */
        String notReady();

        /** The figures, a line each, each ended by a line feed. */
        String figures();

        /** What is known of the other gateways, a line each, this one's first; null where gateways do not talk. */
        default String members() {
            return null;
        }

        /** Sends clients away, or takes them again. */
        void sendAway(boolean away);
    }

    private final Vertx vertx;
    private final Gateway gateway;
    private final NetServer server;
    private final Set<NetSocket> open = new LinkedHashSet<>();
    private final AtomicLong wrongCalls = new AtomicLong();

    /** The operators' address on an event loop of its own. */
    public AdminServer(Vertx own, Gateway gateway) {
        vertx = own;
        this.gateway = gateway;
        Application.limitAccepted(own, MOST_DESCRIPTORS - 1);
        server = own.createNetServer(new NetServerOptions().setReuseAddress(true));
        server.connectHandler(this::caller);
    }

    /** Opens the door; gives the port. */
    public Future<Integer> listen(HostAndPort at) {
        return server.listen(SocketAddress.inetSocketAddress(at.port(), at.address()))
                .map(NetServer::actualPort);
    }

    private void caller(NetSocket socket) {
        if (open.size() >= MOST_OPEN) {
            NetSocket oldest = open.iterator().next();
            open.remove(oldest);
            oldest.close();
        }
        open.add(socket);
        ByteBuf line = Unpooled.buffer(64, LONGEST_CALL);
        long timer = vertx.setTimer(CALL_WAIT_MS, late -> end(socket, null));
        socket.closeHandler(closed -> {
            open.remove(socket);
            vertx.cancelTimer(timer);
            line.release();
        });
        socket.exceptionHandler(e -> Logger.debug("a console connection broke: {}", e.getMessage()));
        socket.handler(bytes -> {
            if (!open.contains(socket)) {
                return;
            }
            for (int i = 0; i < bytes.length(); i++) {
                byte b = bytes.getByte(i);
                if (b == '\n') {
                    vertx.cancelTimer(timer);
                    socket.pause();
                    end(socket, answer(line.toString(StandardCharsets.US_ASCII).strip()));
                    return;
                }
                if (!line.isWritable()) {
                    wrong("a call longer than " + LONGEST_CALL + " bytes");
                    end(socket, "-ERR a call is one line of at most " + LONGEST_CALL + " bytes\n");
                    return;
                }
                line.writeByte(b);
            }
        });
    }

    /** Writes the answer, if any, and closes the connection once it is written. */
    private void end(NetSocket socket, String answer) {
        if (!open.remove(socket)) {
            return;
        }
        if (answer == null) {
            socket.close();
        } else {
            socket.end(Buffer.buffer(answer, "US-ASCII"));
        }
    }

    /** The answer to one call, with its line ends. */
    String answer(String call) {
        switch (call.toUpperCase(Locale.ROOT)) {
            case "READY" -> {
                String not = gateway.notReady();
                return not == null ? "+OK ready\n" : "-ERR not ready: " + not + "\n";
            }
            case "STATS" -> {
                return "+OK\n" + gateway.figures() + ".\n";
            }
            case "MEMBERS" -> {
                String members = gateway.members();
                return members == null ? "-ERR membership is off\n" : "+OK\n" + members + ".\n";
            }
            case "DRAIN" -> {
                gateway.sendAway(true);
                return "+OK draining\n";
            }
            case "UNDRAIN" -> {
                gateway.sendAway(false);
                return "+OK taking clients\n";
            }
            default -> {
                String shown = call.length() > 32 ? call.substring(0, 32) + "..." : call;
                wrong("an unknown call " + shown);
                return "-ERR unknown call '" + shown + "'; calls are READY, STATS, DRAIN and UNDRAIN\n";
            }
        }
    }

    private void wrong(String what) {
        Logger.warn("console: {} ({} wrong calls so far)", what, wrongCalls.incrementAndGet());
    }
}
