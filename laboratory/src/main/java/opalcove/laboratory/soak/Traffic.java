package opalcove.laboratory.soak;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import opalcove.laboratory.soak.History.Request;
import opalcove.laboratory.soak.History.Stall;

/**
 * The clients of one gateway: an open loop of requests over reused and new connections, with the active client faults.
 */
final class Traffic {
    static final String WIDE_PLAN = "wide";
    static final String CEILING_PLAN = "ceiling";
    static final double CEILING_PER_S = 6;
    static final double CEILING_BURST = 20;
    static final double CEILING_SLACK = 2;

    private static final int TENANTS = 40;
    private static final int CEILING_TENANTS = 4;
    private static final double CEILING_SHARE = 0.1;
    private static final double BURST_FACTOR = 3;
    private static final int MAX_CONNECTIONS = 60;
    private static final int MAX_PIPELINED = 40;
    private static final int CROWD_CONNECTIONS = 300;
    private static final double NEW_CONNECTION_SHARE = 0.1;
    private static final double MISBEHAVIOUR_SHARE = 0.3;

    private final int number;
    private final int port;
    private final SoakPlan plan;
    private final ClientConnection.Gateway gateway;
    private final EventLoopGroup loop;
    private final SoakClock clock;
    private final History history;
    private final SplittableRandom random;
    private final Set<FaultType> activeFaults = EnumSet.noneOf(FaultType.class);
    private final List<ClientConnection> connections = new ArrayList<>();
    private int requests;
    private int connected;
    private boolean running;

    Traffic(
            int number,
            int port,
            SoakPlan plan,
            ClientConnection.Gateway gateway,
            EventLoopGroup loop,
            SoakClock clock,
            History history) {
        this.number = number;
        this.port = port;
        this.plan = plan;
        this.gateway = gateway;
        this.loop = loop;
        this.clock = clock;
        this.history = history;
        random = new SplittableRandom(plan.seed() * 31 + number);
    }

    void start() {
        running = true;
        scheduleNext();
    }

    void stop() {
        running = false;
    }

    /** Starts or stops a client fault. */
    void setFault(FaultType kind, boolean on) {
        if (on) {
            activeFaults.add(kind);
            if (kind == FaultType.CLIENT_CROWD) {
                openSilentConnections();
            }
        } else {
            activeFaults.remove(kind);
        }
    }

    private void scheduleNext() {
        if (!running) {
            return;
        }
        double rate = plan.requestsPerS() * (activeFaults.contains(FaultType.CLIENT_BURST) ? BURST_FACTOR : 1);
        double untilNextMs = -1000 / rate * Math.log(1 - random.nextDouble());
        loop.schedule(this::arrive, (long) (untilNextMs * 1000), TimeUnit.MICROSECONDS);
    }

    private void arrive() {
        if (running) {
            connections.removeIf(connection -> !connection.isOpen());
            oneRequest();
            scheduleNext();
        }
    }

    private boolean misbehaves(FaultType fault) {
        return activeFaults.contains(fault) && random.nextDouble() < MISBEHAVIOUR_SHARE;
    }

    private void oneRequest() {
        if (misbehaves(FaultType.CLIENT_STALLS)) {
            stall();
            return;
        }
        ClientConnection connection = connection();
        if (connection == null) {
            return;
        }
        if (misbehaves(FaultType.CLIENT_ERRORS)) {
            sendErrors(connection);
        }
        int count = misbehaves(FaultType.CLIENT_PIPELINES) ? random.nextInt(2, MAX_PIPELINED) : 1;
        boolean slow = misbehaves(FaultType.CLIENT_SLOW);
        for (int i = 0; i < count; i++) {
            Request request = request(connection);
            connection.send(request, text(request), slow && count == 1 ? 3 : 1, random.nextInt(50, 500));
        }
        if (misbehaves(FaultType.CLIENT_LEAVES)) {
            boolean reset = random.nextBoolean();
            loop.schedule(() -> connection.disconnect(reset), random.nextInt(200), TimeUnit.MILLISECONDS);
        }
    }

    /** Returns an idle connection in most cases, otherwise a new one; returns null if there are too many. */
    private ClientConnection connection() {
        List<ClientConnection> idle =
                connections.stream().filter(ClientConnection::isIdle).toList();
        if (!idle.isEmpty() && random.nextDouble() >= NEW_CONNECTION_SHARE) {
            return idle.get(random.nextInt(idle.size()));
        }
        return connections.size() < MAX_CONNECTIONS ? open() : null;
    }

    private ClientConnection open() {
        ClientConnection made = ClientConnection.open(connected++, port, gateway, loop, clock);
        connections.add(made);
        return made;
    }

    private Request request(ClientConnection connection) {
        String id = String.format(
                Locale.ROOT,
                "%04x%012x",
                number * 256 + (int) (plan.seed() & 0xff),
                ++requests + random.nextLong(1 << 20) * (1L << 28));
        SoakClass requestClass = SoakClass.values()[random.nextInt(SoakClass.values().length)];
        boolean ceiling = random.nextDouble() < CEILING_SHARE;
        int tenant = random.nextInt(ceiling ? CEILING_TENANTS : TENANTS) + (ceiling ? TENANTS : 0);
        boolean hasty = random.nextDouble() < 0.1;
        int deadlineMs = hasty ? random.nextInt(20, 300) : requestClass.deadlineMs - random.nextInt(200);
        Request request = new Request(
                id,
                requestClass,
                String.format(Locale.ROOT, "%016x", tenant),
                ceiling ? CEILING_PLAN : WIDE_PLAN,
                number,
                connection.number(),
                deadlineMs);
        history.requests.put(id, request);
        return request;
    }

    private String text(Request request) {
        String parameters = "c=" + request.requestClass.label + ",t=" + request.plan + ",d=" + request.deadlineMs
                + (request.requestClass == SoakClass.ORDER ? ",k=" + request.id : "") + ",units=1,spread="
                + plan.gateways() + ",first=0";
        return request.requestClass.safe()
                ? RespCommands.command("SVC.QUERY", request.tenant, request.id, parameters)
                : RespCommands.command("SVC.SUBMIT", request.tenant, request.id, parameters, "body of " + request.id);
    }

    /**
     * Sends requests of a class that the gateway does not know, for example one of a configuration that it has not read
     * yet.
     */
    private void sendErrors(ClientConnection connection) {
        int count = random.nextInt(1, 5);
        for (int i = 0; i < count; i++) {
            connection.sendOther(RespCommands.command(
                    "SVC.QUERY",
                    "0000000000000001",
                    String.format(Locale.ROOT, "%016x", random.nextLong() | Long.MIN_VALUE),
                    "c=unknown,t=wide,d=500,units=1,spread=1,first=0"));
        }
    }

    private void stall() {
        ClientConnection connection = open();
        Request before = random.nextBoolean() ? request(connection) : null;
        if (before != null) {
            connection.send(before, text(before), 1, 0);
        }
        loop.schedule(
                () -> {
                    if (connection.isOpen()) {
                        Stall begun = new Stall(number, clock.now(), before);
                        history.stalls.add(begun);
                        String complete =
                                RespCommands.command("SVC.QUERY", "0000000000000001", "0123456789abcdef", "c=lookup");
                        connection.stall(begun, complete.substring(0, random.nextInt(1, complete.length() - 1)));
                    }
                },
                1,
                TimeUnit.MILLISECONDS);
    }

    private void openSilentConnections() {
        for (int i = 0; i < CROWD_CONNECTIONS; i++) {
            loop.schedule(
                    () -> {
                        if (running && activeFaults.contains(FaultType.CLIENT_CROWD)) {
                            ClientConnection.open(-1, port, gateway, loop, clock);
                        }
                    },
                    i * 3L,
                    TimeUnit.MILLISECONDS);
        }
    }
}
