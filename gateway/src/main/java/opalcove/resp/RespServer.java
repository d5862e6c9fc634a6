package opalcove.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import opalcove.config.HostAndPort;
import opalcove.core.InvalidRequestException;
import opalcove.core.Request;
import opalcove.core.RequestDispatcher;
import opalcove.core.RequestHandle;
import opalcove.core.Response;
import opalcove.core.ResponseHandler;
import opalcove.core.StreamedValue;
import opalcove.lifecycle.Application;
import opalcove.lifecycle.Lifecycle;
import opalcove.metrics.ConnectionCloseReason;
import opalcove.metrics.Errno;
import opalcove.metrics.Invariant;
import opalcove.metrics.Metrics;
import opalcove.metrics.SystemCall;
import org.tinylog.Logger;

/** The RESP2 front: terminals' connections, their commands in, the answers out in the order of the commands. */
public final class RespServer {
    /** Commands of one connection that may wait for answers before it is read on. */
    private static final int MOST_PIPELINED = 256;

    private static final int MOST_WORDS = 8;
    /** A connection without an open ask is closed after this, be it new, at rest, or amid a command, ms. */
    private static final long REST_MS = 2000;

    private static final long SWEEP_MS = 250;
    /**
     * While clients are sent away, a connection that carries nothing is closed once it is this old, ms: time for a new one
     * to bring its first command.
     */
    private static final long AWAY_REST_MS = 200;
    /** How long a connection is not read after a command that was an error, ms; longer with each of them. */
    private static final long PENALTY_MS = 50;
    /**
     * After so many errors it grows no longer. Guards good requests that come behind an error on a connection that many
     * clients share: what waits longer than half a second for its answer is lost, however little time its client gave it.
     */
    private static final int MOST_PENALTIES = 4;
    /** How long after its request's time a value that has begun to come, and of which nothing is written, is waited for, ms. */
    private static final long VALUE_GRACE_MS = 200;
    /** How often the event loop is woken at the least, ms: it cannot see that it stood still for less than its sleep. */
    private static final long HEARTBEAT_MS = 100;
    /** Connections that may turn out to be in use before a new one is turned away for want of room. */
    private static final int MOST_LOOKS = 16;
    /**
     * How long a connection that ends here stays half open, for its terminal to read what was written and close it, ms.
     * Guards the last answer: a socket closed with input unread is reset, and what was on its way to the terminal is
     * dropped with it.
     */
    private static final long FAREWELL_MS = 250;
    /** Guards the descriptors: this part of the most terminals may be half open at a time. */
    private static final int FAREWELL_PART = 8;
    /** Connections that may be accepted and not handled yet, beside a full front. */
    private static final int ACCEPTED_AHEAD = 2 * Application.ACCEPTS_AT_ONCE;

    private final Vertx vertx;

    private final RequestDispatcher gateway;
    private final RequestDecoder requests;
    private final Lifecycle phases;
    /** Of the last try to listen. */
    private NetServer server;

    private final Set<Terminal> clients = new HashSet<>();
    /** Connections of which the end was told and which their terminals have not closed yet, the oldest first. */
    private final Set<Terminal> farewells = new LinkedHashSet<>();

    private final int maxClients;
    private final int mostFarewells;
    private final ByteAccumulator gathered = new ByteAccumulator();
    private Runnable whenEmpty = () -> {};
    /** Told by an operator: PING says no, and each connection is closed once it owes nothing. */
    private boolean sendingAway;

    private final DisconnectDetector inputs;
    /** Draining, and connections that were made before may still be handed over. */
    private boolean coming;

    /**
     * Serves RESP2 clients from this gateway.
     *
     * @param maxClients how many client connections may be open at once
     */
    public RespServer(Vertx vertx, RequestDispatcher gateway, Lifecycle phases, int maxClients) {
        this.vertx = vertx;
        this.gateway = gateway;
        requests = new RequestDecoder(gateway::requestValidator);
        this.phases = phases;
        inputs = new DisconnectDetector(vertx);
        this.maxClients = maxClients;
        mostFarewells = Math.max(1, maxClients / FAREWELL_PART);
        Application.limitAccepted(vertx, mostDescriptors(maxClients));
        Context context = vertx.getOrCreateContext();
        // Told on the acceptor's thread, whose own context is not this one.
        Application.whenAcceptRefused(vertx, refusal -> context.runOnContext(told -> acceptRefused(refusal)));
        vertx.setPeriodic(SWEEP_MS, swept -> closeResting());
        vertx.setPeriodic(HEARTBEAT_MS, beat -> {});
    }

    /** Makes room where it is descriptors that the system is short of. */
    private void acceptRefused(IOException refusal) {
        gateway.systemCallFailed(SystemCall.ACCEPT, refusal);
        if (Errno.of(refusal).isShortOfDescriptors()) {
            closeLongestIdle();
        }
    }

    /** How many terminals a front may have that holds no more than so many descriptors in all. */
    public static int maxClientsWithin(int descriptors) {
        int clients = Math.max(1, (descriptors - ACCEPTED_AHEAD) * FAREWELL_PART / (FAREWELL_PART + 1));
        return mostDescriptors(clients) > descriptors && clients > 1 ? clients - 1 : clients;
    }

    /** The descriptors that a front of so many terminals holds at most: connections in use, half open, and accepted ahead. */
    public static int mostDescriptors(int maxClients) {
        return maxClients + Math.max(1, maxClients / FAREWELL_PART) + ACCEPTED_AHEAD;
    }

    /** Guards memory and descriptors against terminals that ask once, or never to the end of a command, and stay. */
    private void closeResting() {
        long before = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(goesAway() ? AWAY_REST_MS : REST_MS);
        for (Terminal each : List.copyOf(clients)) {
            if (!each.endIfStalled() && each.slots.isEmpty() && each.lastUsed - before < 0) {
                each.partIfQuiet(goesAway() ? ConnectionCloseReason.DRAINED : ConnectionCloseReason.IDLE);
            }
        }
        for (Terminal each : List.copyOf(farewells)) {
            if (System.nanoTime() - each.partedAt > TimeUnit.MILLISECONDS.toNanos(FAREWELL_MS)) {
                each.socket.close();
            }
        }
    }

    /**
     * Makes room for a new connection. Guards the descriptors that the links to app nodes need, and the front against
     * being filled by connections whose terminals have vanished: between asks a connection may be closed.
     */
    private boolean closeLongestIdle() {
        Set<Terminal> looked = new HashSet<>();
        while (looked.size() < MOST_LOOKS) {
            Terminal longest = null;
            for (Terminal each : clients) {
                if (each.slots.isEmpty()
                        && (longest == null || each.lastUsed - longest.lastUsed < 0)
                        && !looked.contains(each)) {
                    longest = each;
                }
            }
            if (longest == null) {
                return false;
            }
            if (longest.partIfQuiet(ConnectionCloseReason.CAPACITY_NEEDED)) {
                gateway.clientConnectionClosedForDescriptors(false);
                return true;
            }
            // It stays, half a command on its way or an ask that had lain unread, and must not hide the others.
            looked.add(longest);
        }
        return false;
    }

    /**
     * Closes the oldest of the connections that are half open, of those that have read their answers if there is one. Guards
     * the descriptors against a terminal that reads nothing, for which a close that waits for its answers never comes.
     */
    private void endFarewell() {
        // One that was closed in this turn stays among them until its end is told.
        List<Terminal> left =
                farewells.stream().filter(each -> each.raw.isOpen()).toList();
        left.stream()
                .filter(each -> !each.raw.hasUnsent())
                .findFirst()
                .or(() -> left.stream().findFirst())
                .ifPresent(each -> each.raw.closeUnsent());
    }

    /** Connections in use or at rest. */
    int open() {
        return clients.size();
    }

    /** Connections that have been ended here and not yet closed. */
    int halfOpen() {
        return farewells.size();
    }

    /** Opens the front; gives the port. */
    public Future<Integer> listen(HostAndPort at) {
        return listen(SocketAddress.inetSocketAddress(at.port(), at.address())).map(NetServer::actualPort);
    }

    Future<NetServer> listen(SocketAddress at) {
        server = newServer();
        return server.listen(at);
    }

    private NetServer newServer() {
        NetServer made = vertx.createNetServer(new NetServerOptions()
                .setAcceptBacklog(512)
                .setReuseAddress(true)
                .setReusePort(true));
        made.connectHandler(socket -> {
            if (clients.size() >= maxClients && !closeLongestIdle()) {
                Logger.debug("a terminal's connection is closed: {} are open and busy", clients.size());
                gateway.clientConnectionClosedForDescriptors(true);
                socket.close();
                return;
            }
            clients.add(new Terminal(socket));
        });
        return made;
    }

    /**
     * An operator's drain, or its end: while clients are sent away, PING says no, so that the front before this gateway
     * sends no new connections, and every connection is closed once it owes no answer. Answers owed are all given.
     */
    public void sendAway(boolean away) {
        sendingAway = away;
        if (away) {
            closeResting();
        }
    }

    /** Whether connections are closed once they owe nothing. */
    private boolean goesAway() {
        return sendingAway || phases.current().ordinal() >= Lifecycle.Phase.DRAINING.ordinal();
    }

    /** Takes no new connections, and closes each that owes no answer; runs the action once none is left. */
    public void drain(Runnable action) {
        whenEmpty = action;
        coming = Application.stopListening(vertx, () -> {
            coming = false;
            closeResting();
            checkEmpty();
        });
        if (!coming && server != null) {
            // Not close(), which would cut the connections that are still owed answers.
            server.shutdown(1, TimeUnit.HOURS);
        }
        // One that was made or used just now may have its next command on the way: the next looks see to it.
        closeResting();
        checkEmpty();
    }

    private void checkEmpty() {
        if (!coming && clients.isEmpty() && farewells.isEmpty()) {
            whenEmpty.run();
        }
    }

    /** One command, and room for its answer. */
    private final class Slot implements ResponseHandler {
        private final Terminal client;
        private RequestHandle request;
        private ByteBuf body;
        private boolean responded;
        /** The answer's bytes, where its turn has not come. */
        private ByteBuf aside;
        /** A long value that answers it. */
        private ResponseStream passage;

        Slot(Terminal client) {
            this.client = client;
        }

        @Override
        public void onResponse(Response answer) {
            client.answer(this, answer);
        }

        @Override
        public boolean acceptsStreamedValue(StreamedValue value) {
            if (client.closing) {
                return false;
            }
            passage = new ResponseStream(this, value);
            value.deliverTo(passage);
            // Before its turn a value waits at its node.
            value.setReading(client.slots.peek() == this);
            passage.advance();
            return true;
        }

        @Override
        public boolean isConnected() {
            return client.input.isConnected();
        }

        /** Lets go of bytes whose turn will not come. */
        void drop() {
            if (aside != null) {
                aside.release();
                aside = null;
            }
            if (passage != null) {
                passage.drop();
            }
        }

        @Override
        public void onReleased() {
            if (body != null) {
                body.release();
                body = null;
            }
        }
    }

    /**
     * A long value on its way to the terminal of its slot. A value that its node cuts amid its passing ends the connection, for
     * nothing else tells the terminal that it is not whole. Guards the requests behind it, which would be lost with the
     * connection: where some were read, the value is gathered whole before any of it is written; where none was, none is read
     * until the value has passed.
     */
    private final class ResponseStream implements StreamedValue.Sink {
        private final Slot slot;
        private final StreamedValue value;
        /** Whether it is being written. */
        private boolean flowing;
        /** Whether it is not written before it is whole. */
        private boolean gathers;
        /** Its turn has come and a timer bounds how long it is waited for. */
        private boolean waits;
        /** Whether its slot has another answer, and what comes of it is dropped. */
        private boolean abandoned;
        /** Its parts that came and are not written. */
        private final Deque<ByteBuf> early = new ArrayDeque<>(4);
        /** Bytes that it holds of those that may be gathered. */
        private int taken;

        ResponseStream(Slot slot, StreamedValue value) {
            this.slot = slot;
            this.value = value;
        }

        @Override
        public void onPart(ByteBuf bytes) {
            if (slot.client.closing || abandoned) {
                bytes.release();
            } else {
                early.add(bytes);
                advance();
            }
        }

        @Override
        public void onComplete() {
            if (!slot.client.closing && !abandoned) {
                advance();
            }
        }

        /** Goes on once it is its turn: writes what has come, or waits for more of it. */
        void advance() {
            if (abandoned || slot.client.slots.peek() != slot) {
                return;
            }
            if (!flowing && !mayBegin()) {
                return;
            }
            if (!flowing) {
                begin();
            }
            flow();
        }

        private boolean mayBegin() {
            if (value.isComplete()) {
                return true;
            }
            if (!early.isEmpty() && !gathers && !slot.client.isAlone(slot)) {
                if (!gathered.take(value.length())) {
                    abandon("requests are behind it, and there is no room to gather it");
                    return false;
                }
                gathers = true;
                taken = value.length();
            }
            value.setReading(true);
            boolean begins = !early.isEmpty() && !gathers;
            if (!begins) {
                waitNoLongerThanItsTime();
            }
            return begins;
        }

        /** Guards the answer against a node that gives the rest of a value late: what is not being written is owed in time. */
        private void waitNoLongerThanItsTime() {
            if (waits || slot.request == null) {
                return;
            }
            waits = true;
            long ms = (long) Math.max(0, slot.request.remainingMs()) + VALUE_GRACE_MS;
            vertx.setTimer(ms, due -> {
                if (!flowing && !abandoned && !value.isComplete() && !slot.responded && !slot.client.closing) {
                    abandon("its time is over and it is not whole");
                }
            });
        }

        private void begin() {
            flowing = true;
            if (!value.isComplete()) {
                slot.client.input.hold();
            }
            slot.client.raw.waitsAtMost(2 * RespConnector.PORTION);
            Resp.head(slot.client.raw.room(Resp.HEAD), '$', value.length());
        }

        private void flow() {
            while (!early.isEmpty() && (!value.isComplete() || slot.client.raw.isWritable())) {
                ByteBuf part = early.poll();
                letGo(part.readableBytes());
                slot.client.raw.pass(part);
            }
            // A write may have made the socket unwritable, which is told at once and comes back here: it has ended
            // then.
            if (slot.responded) {
                return;
            }
            if (early.isEmpty() && value.isComplete()) {
                slot.client.valueEnded(slot);
            } else {
                value.setReading(slot.client.raw.isWritable());
            }
        }

        /** It fails, alone: nothing of it was written, so the connection and the requests behind it go on. */
        private void abandon(String cause) {
            Logger.warn("a value of {} bytes is given up: {}", value.length(), cause);
            abandoned = true;
            RequestHandle request = slot.request;
            drop();
            slot.client.line(slot, "-ERR failed");
            if (request != null) {
                request.abortStreamedValue();
            }
        }

        private void letGo(int bytes) {
            int given = Math.min(taken, bytes);
            taken -= given;
            gathered.give(given);
        }

        void drop() {
            early.forEach(ByteBuf::release);
            early.clear();
            letGo(taken);
        }

        @Override
        public void onTruncated() {
            slot.request = null;
            if (slot.client.closing || abandoned) {
                return;
            }
            if (flowing && !value.isComplete()) {
                Logger.warn("a value was cut off by its app node");
                slot.client.cut();
            } else {
                slot.drop();
                slot.client.line(slot, "-ERR failed");
            }
        }
    }

    /** One connection of a front. */
    private final class Terminal implements RawSocket.User, RespDecoder.User {
        private final NetSocket socket;
        private final RawSocket raw;
        private final RespDecoder reader = new RespDecoder(MOST_WORDS, this);
        private final Deque<Slot> slots = new ArrayDeque<>(4);
        private final DisconnectDetector.Input input;
        private long lastUsed = System.nanoTime();
        /** When bytes last came, for half a command that is on its way. */
        private long lastRead = lastUsed;

        private int errors;
        private boolean penalised;
        private boolean closing;
        /** Why it is ended once it owes nothing, where it is closing. */
        private ConnectionCloseReason endsFor = ConnectionCloseReason.PROTOCOL;

        private long partedAt;

        Terminal(NetSocket socket) {
            this.socket = socket;
            raw = new RawSocket(socket, false, this);
            input = inputs.input(raw, reader, () -> !slots.isEmpty());
            socket.exceptionHandler(e -> Logger.debug("a terminal's connection broke: {}", e.getMessage()));
            socket.closeHandler(closed -> gone());
        }

        @Override
        public void read(ByteBuf bytes) {
            lastRead = System.nanoTime();
            input.read(bytes);
        }

        /** A command has come. */
        @Override
        public void value(RespDecoder command) {
            lastUsed = System.nanoTime();
            Slot slot = new Slot(this);
            slots.add(slot);
            if (!isCommand(command)) {
                error(slot, "expected a command");
                return;
            }
            if (RequestDecoder.requests(command)) {
                request(slot, command);
            } else {
                other(slot, command);
            }
            if (slots.size() >= MOST_PIPELINED || !raw.isWritable()) {
                // Guards memory against a terminal that asks on and reads no answers.
                input.pause();
            }
        }

        private boolean isCommand(RespDecoder command) {
            boolean strings = command.kind() == '*' && command.count() > 0;
            for (int i = 0; strings && i < command.count(); i++) {
                strings = command.isString(i);
            }
            return strings;
        }

        private void request(Slot slot, RespDecoder command) {
            Request request;
            try {
                request = requests.read(command, raw);
            } catch (InvalidRequestException e) {
                if (e.requestClass() != null) {
                    gateway.metrics().requestEnded(e.requestClass(), Metrics.RequestOutcome.FAILURE);
                }
                error(slot, e.getMessage());
                return;
            }
            slot.body = request.body();
            slot.request = gateway.dispatch(request, slot, input.unreadMs());
            if (phases.current().ordinal() >= Lifecycle.Phase.DRAINING.ordinal()) {
                // Its answer comes behind those of the asks before it, which may wait longer than this process lasts.
                slots.forEach(before -> {
                    if (before.request != null) {
                        before.request.expedite();
                    }
                });
            }
        }

        private void other(Slot slot, RespDecoder command) {
            switch (command.text(0).toUpperCase(Locale.ROOT)) {
                case "PING" -> {
                    if (sendingAway) {
                        line(slot, "-ERR draining");
                    } else if (command.count() > 1) {
                        served(slot, command.lend(1));
                    } else {
                        line(slot, "+PONG");
                    }
                }
                case "CLIENT", "SELECT" -> line(slot, "+OK");
                case "INFO" -> served(slot, Unpooled.copiedBuffer(gateway.infoLines(), StandardCharsets.US_ASCII));
                default -> line(slot, "-ERR unknown command");
            }
        }

        /** Writes the one final answer; its value is lent. */
        void answer(Slot slot, Response answer) {
            if (answer instanceof Response.Served served) {
                served(slot, served.value());
            } else if (answer instanceof Response.Refused refused) {
                line(slot, refused.retryAfterMs() > 0 ? "-BUSY " + refused.retryAfterMs() : "-BUSY");
            } else {
                line(slot, "-ERR " + ((Response.Failed) answer).reason());
            }
        }

        private void served(Slot slot, ByteBuf value) {
            int length = value.readableBytes();
            if (slots.peek() != slot) {
                slot.aside = raw.aside(length + Resp.HEAD);
                Resp.head(slot.aside, '$', length);
                slot.aside.writeBytes(value, value.readerIndex(), length);
                Resp.lineEnd(slot.aside);
            } else if (length < Resp.LARGE) {
                ByteBuf out = raw.room(length + Resp.HEAD);
                Resp.head(out, '$', length);
                out.writeBytes(value, value.readerIndex(), length);
                Resp.lineEnd(out);
            } else {
                Resp.head(raw.room(Resp.HEAD), '$', length);
                raw.pass(value.retainedSlice());
                raw.passLineEnd();
            }
            answered(slot);
        }

        private void line(Slot slot, String text) {
            if (slots.peek() == slot) {
                Resp.line(raw.room(text.length() + 2), text);
            } else {
                slot.aside = raw.aside(text.length() + 2);
                Resp.line(slot.aside, text);
            }
            answered(slot);
        }

        /** Lets out the answers whose turn has come: this one if it is the first, and those that waited for it. */
        private void answered(Slot slot) {
            slot.responded = true;
            slot.request = null;
            if (slots.peek() != slot) {
                return;
            }
            slots.poll();
            while (!slots.isEmpty() && slots.peek().responded) {
                Slot next = slots.poll();
                raw.pass(next.aside);
                next.aside = null;
            }
            lastUsed = System.nanoTime();
            if (slot.passage != null) {
                slot.passage.drop();
                input.letGo();
            }
            flowIfFirst();
            closeIfIdle();
            resumeIfDrained();
        }

        /** Writes on with the long value whose turn has come, if it is one's. */
        void flowIfFirst() {
            Slot first = slots.peek();
            ResponseStream passage = first == null ? null : first.passage;
            if (passage != null) {
                passage.advance();
            }
        }

        /** Whether no other request was read on this connection that waits for its answer, or to be looked into. */
        boolean isAlone(Slot slot) {
            return slots.size() == 1 && slots.peek() == slot && !input.hasKept();
        }

        void valueEnded(Slot slot) {
            raw.passLineEnd();
            answered(slot);
        }

        /** Ends the connection amid a value: that it ends is how its terminal can tell that the value is not whole. */
        void cut() {
            slots.poll().drop();
            if (!slots.isEmpty()) {
                gateway.invariants()
                        .violated(
                                Invariant.CLOSED_UNANSWERED,
                                "-",
                                slots.size() + " requests behind a value that was cut");
            }
            part(ConnectionCloseReason.TRUNCATED);
            dropSlots();
        }

        /**
         * An error in the command's place. Guards the processor against a terminal that sends the same again the moment
         * it is turned away: for a while nothing more is read from it.
         */
        private void error(Slot slot, String reason) {
            line(slot, "-ERR " + reason);
            errors = Math.min(errors + 1, MOST_PENALTIES);
            if (!penalised) {
                penalised = true;
                input.pause();
                vertx.setTimer(PENALTY_MS * errors, over -> {
                    penalised = false;
                    resumeIfDrained();
                });
            }
        }

        @Override
        public void writable() {
            Slot first = slots.peek();
            if (first != null && first.passage != null && first.passage.flowing) {
                first.passage.advance();
            }
            resumeIfDrained();
        }

        private void resumeIfDrained() {
            boolean drained = slots.size() < MOST_PIPELINED / 2 && raw.isWritable();
            if (input.isPaused() && !penalised && !closing && drained) {
                input.resume();
            }
        }

        /**
         * Ends a connection on which half a command has stood still for as long as one may rest, once it owes no answer; tells
         * whether it did. Guards against half a command behind others, which would be looked at only once they are answered,
         * and would then rest anew.
         */
        boolean endIfStalled() {
            boolean stalled = System.nanoTime() - lastRead > TimeUnit.MILLISECONDS.toNanos(REST_MS);
            if (closing || !stalled || !reader.within() || input.isPaused() || input.isHeld()) {
                return false;
            }
            input.readAll();
            if (closing || !reader.within() || System.nanoTime() - lastRead < TimeUnit.MILLISECONDS.toNanos(REST_MS)) {
                return false;
            }
            if (slots.isEmpty()) {
                part(ConnectionCloseReason.STALLED);
            } else {
                endsFor = ConnectionCloseReason.STALLED;
                broken("half a command");
            }
            return true;
        }

        /** What cannot be read ends this connection after the answers that it is owed. */
        @Override
        public void broken(String reason) {
            closing = true;
            input.drop();
            // Guards the processor against the rest of what is no command, be it 60 MB.
            input.pause();
            Slot last = new Slot(this);
            slots.add(last);
            line(last, "-ERR Protocol error: " + reason);
        }

        void closeIfIdle() {
            if (slots.isEmpty() && closing) {
                part(endsFor);
            } else if (slots.isEmpty() && goesAway()) {
                // Not within the reading of this very connection, in which it cannot be read once more.
                vertx.runOnContext(read -> partIfQuiet(ConnectionCloseReason.DRAINED));
            }
        }

        /**
         * Ends the connection if it is at rest still, having looked once more for what may lie unread; tells whether it
         * did. Guards an ask that came while the event loop was held up (for want of processor, or by a long turn): a
         * timer can be due before the loop has read what came in the meantime, and to its terminal such an ask is taken.
         * Reads that are paused (after an error, or for want of room) do not spare it: what lies behind them is taken too.
         */
        boolean partIfQuiet(ConnectionCloseReason why) {
            if (!closing) {
                input.readAll();
            }
            // Half a command whose bytes still come is a request on its way; one that stands still is a stalled
            // terminal.
            boolean onItsWay = reader.within() && System.nanoTime() - lastRead < TimeUnit.MILLISECONDS.toNanos(REST_MS);
            boolean quiet = slots.isEmpty() && !closing && !onItsWay;
            if (quiet) {
                part(why);
            }
            return quiet;
        }

        /**
         * Ends the connection, which owes no answer. Guards what was read from it before and not looked at against being
         * sent on when that while is over: its answer would have nowhere to go, and the terminal, which saw the
         * connection end first, may have asked again elsewhere.
         */
        private void part(ConnectionCloseReason why) {
            gateway.clientConnectionClosed(why);
            end();
            if (farewells.size() >= mostFarewells) {
                endFarewell();
            }
            farewells.add(this);
            partedAt = System.nanoTime();
            raw.closeOutput();
        }

        /** Nothing that comes is looked into any more. */
        private void end() {
            closing = true;
            input.end();
            clients.remove(this);
        }

        private void gone() {
            end();
            farewells.remove(this);
            dropSlots();
            checkEmpty();
        }

        private void dropSlots() {
            for (Slot slot = slots.poll(); slot != null; slot = slots.poll()) {
                slot.drop();
                if (slot.request != null) {
                    slot.request.clientLeft();
                }
            }
        }
    }
}
