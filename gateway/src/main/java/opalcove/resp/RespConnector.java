package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.function.Function;
import opalcove.backend.BackendConnection;
import opalcove.backend.Connector;
import opalcove.config.HostAndPort;
import opalcove.core.AttemptResult;
import opalcove.core.Request;
import opalcove.core.StreamedValue;
import opalcove.decision.DecisionSettings;
import org.tinylog.Logger;

/** Opens RESP2 lines to app nodes. */
public final class RespConnector implements Connector {
    /** How long an answer may stand still once it has begun, ms. */
    private static final long STALL_MS = 300;
    /** How long a value that is passed on may stand still while it is read, and while its terminal takes nothing, ms. */
    private static final long VALUE_STALL_MS = 5000;

    private static final long TERMINAL_STALL_MS = 30_000;
    /** What of a long value is read at a time, bytes. */
    static final int PORTION = 16 * 1024;

    private final Vertx vertx;
    private final Function<String, SocketAddress> place;
    private final NetClient client;
    private final BackendReplyDecoder replies;

    /** Opens connections to backends with the time limits of the settings. */
    public RespConnector(Vertx vertx, DecisionSettings settings) {
        this(vertx, settings, address -> {
            HostAndPort backend = HostAndPort.read(address, "address");
            return SocketAddress.inetSocketAddress(backend.port(), backend.address());
        });
    }

    /** Dials where the function says that an address is. */
    RespConnector(Vertx vertx, DecisionSettings settings, Function<String, SocketAddress> place) {
        this.vertx = vertx;
        this.place = place;
        replies = new BackendReplyDecoder(settings);
        client = vertx.createNetClient(
                new NetClientOptions().setReconnectAttempts(0).setConnectTimeout((int)
                        Math.max(1, settings.limits().connectTimeoutMs())));
    }

    @Override
    public Future<BackendConnection> connect(String address) {
        return client.connect(place.apply(address)).map(RespBackendConnection::new);
    }

    private final class RespBackendConnection
            implements BackendConnection, RawSocket.User, RespDecoder.User, StreamedValue {
        private final NetSocket socket;
        private final RawSocket raw;
        private final RawSocket.ReadBufferAllocator portions = new RawSocket.ReadBufferAllocator();
        private final RespDecoder reader = new RespDecoder(BackendReplyDecoder.PARTS, this);
        private Listener user;
        private long stall = -1;
        /** Who takes the long value that is coming, and what is known of it. */
        private Sink sink;

        private int length;
        private boolean complete;
        private boolean paused;

        RespBackendConnection(NetSocket socket) {
            this.socket = socket;
            raw = new RawSocket(socket, true, this);
            raw.reads(portions);
        }

        @Override
        public void setListener(Listener attached) {
            user = attached;
            socket.exceptionHandler(e -> socket.close());
            socket.closeHandler(end -> {
                reader.stop();
                cancelStall();
                // An attempt that still waited for the end of this turn has not been sent, whoever ended the line.
                raw.dropUnsent();
                if (sink != null && !complete) {
                    sink.onTruncated();
                }
                user.onClosed();
            });
        }

        @Override
        public void read(ByteBuf bytes) {
            reader.take(bytes);
            watchStall();
        }

        @Override
        public boolean mayLeave() {
            return user.maySend();
        }

        @Override
        public void unwritten() {
            user.onWriteFailed();
        }

        @Override
        public void value(RespDecoder reply) {
            AttemptResult end = replies.read(reply);
            sink = null;
            if (end == null) {
                broken("an answer of no known form");
            } else {
                user.onReply(end);
            }
        }

        /**
         * Guards the attempt against an answer that is shorter than it says: nodes write an answer at once, so one that
         * stands still half way will not be finished.
         */
        private void watchStall() {
            cancelStall();
            if (reader.within()) {
                boolean passing = sink != null && !complete;
                stall = vertx.setTimer(
                        passing ? paused ? TERMINAL_STALL_MS : VALUE_STALL_MS : STALL_MS,
                        due -> broken("an answer without an end"));
            }
        }

        @Override
        public boolean began(int bytes) {
            length = bytes;
            complete = false;
            portions.limit(PORTION);
            return user.acceptsStreamedValue(this);
        }

        @Override
        public int length() {
            return length;
        }

        @Override
        public void deliverTo(Sink taker) {
            sink = taker;
        }

        @Override
        public void part(ByteBuf bytes) {
            sink.onPart(bytes);
        }

        @Override
        public void partsEnded() {
            complete = true;
            portions.limit(Integer.MAX_VALUE);
            sink.onComplete();
            // What follows the value is read whatever its terminal does.
            readOn(true);
        }

        @Override
        public boolean isComplete() {
            return complete;
        }

        @Override
        public void setReading(boolean yes) {
            if (!complete) {
                readOn(yes);
            }
        }

        private void readOn(boolean yes) {
            if (paused == yes) {
                paused = !yes;
                raw.reads(yes);
                watchStall();
            }
        }

        private void cancelStall() {
            if (stall >= 0) {
                vertx.cancelTimer(stall);
                stall = -1;
            }
        }

        /** What cannot be read ends the connection, and with it the attempt, as a reset; nothing after it is heard. */
        @Override
        public void broken(String reason) {
            Logger.debug("an app node's answer is spoilt: {}", reason);
            reader.stop();
            raw.closeUnsent();
        }

        @Override
        public boolean isAlive() {
            raw.readNow();
            return raw.isOpen();
        }

        @Override
        public void send(Request request, double waitMs) {
            RequestDecoder.write(request, waitMs, raw);
        }

        @Override
        public void close() {
            raw.closeUnsent();
        }
    }
}
