package opalcove.cluster;

import com.eclipsesource.json.Json;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.membership.FailureDetector;
import opalcove.membership.Member;
import opalcove.membership.ProtocolCounts;
import opalcove.membership.SwimMessage;
import opalcove.timer.TickTimer;
import org.tinylog.Logger;

/**
 * Runs this process as a member of the gateways' fleet: connects the {@link FailureDetector} to datagrams and timers.
 * It is owned by an event loop that does no work for clients, because long turns of such work would look like silence
 * to the other members. The data for other threads ({@link #figures}, {@link #memberList}, {@link #presentMembers}) is
 * published at each tick, at most a gossip period apart, and not at each datagram, because that cost would grow with
 * the fleet.
 */
public final class MembershipService {
    private static final int SOCKET_BUFFER_BYTES = 1 << 20;
    private static final char GAUGE = 'g';
    private static final char COUNTER = 'c';

    private final Vertx vertx;
    private final String name;
    private final MembershipConfig settings;
    private final List<Member> knownMembers;
    private final Consumer<String> events;
    private final DatagramSocket socket;
    private final TickTimer timer;
    private FailureDetector detector;
    private long sent;
    private long received;
    private long unreadableDatagrams;
    private volatile List<Member> presentMembers = List.of();
    private volatile String figures = "";
    private volatile String memberList = "";

    /**
     * Creates a member that has not started yet.
     *
     * @param vertx an event loop that does no work for clients
     * @param name the name of this member
     * @param knownMembers the members that are known from before the start
     * @param events receives a JSON object for each change of a member, if the settings enable events
     */
    public MembershipService(
            Vertx vertx, String name, MembershipConfig settings, List<Member> knownMembers, Consumer<String> events) {
        this.vertx = vertx;
        timer = new TickTimer(vertx, MembershipService::monotonicMs, this::tick);
        this.name = name;
        this.settings = settings;
        this.knownMembers = knownMembers;
        this.events = events;
        socket = vertx.createDatagramSocket(new DatagramSocketOptions()
                .setReceiveBufferSize(SOCKET_BUFFER_BYTES)
                .setSendBufferSize(SOCKET_BUFFER_BYTES));
    }

    /** Listens and joins the fleet; the future fails if listening fails. */
    public Future<Void> start() {
        return socket.listen(settings.listen().port(), settings.listen().address())
                .map(open -> {
                    String address = settings.advertise().isEmpty()
                            ? settings.listen().address() + ":"
                                    + open.localAddress().port()
                            : settings.advertise();
                    // The first incarnation is the time of the start: it is higher than that of any earlier process of
                    // this name.
                    detector = new FailureDetector(
                            monotonicMs(),
                            name,
                            address,
                            System.currentTimeMillis(),
                            settings.seeds(),
                            settings.protocol(),
                            new SplittableRandom(),
                            new Host());
                    detector.addKnown(knownMembers);
                    open.handler(this::onDatagram);
                    open.exceptionHandler(e -> Logger.debug("membership: {}", e.getMessage()));
                    Logger.info("membership: {} at {}, seeds {}", name, address, settings.seeds());
                    tick();
                    return null;
                });
    }

    private static long monotonicMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void tick() {
        detector.tick(monotonicMs());
        publish();
        armTimer();
    }

    private void armTimer() {
        timer.arm(detector.nextTickMs());
    }

    private void onDatagram(DatagramPacket datagram) {
        SwimMessage message;
        try {
            message = MembershipCodec.read(datagram.data().getBytes());
        } catch (InvalidConfigurationException e) {
            unreadableDatagrams++;
            Logger.debug("membership: unreadable datagram: {}", e.getMessage());
            return;
        }
        received++;
        detector.receive(monotonicMs(), message);
        armTimer();
    }

    /** Announces that this member leaves; must be called some gossip periods before the process ends. */
    public void leave() {
        vertx.runOnContext(run -> {
            if (detector != null && detector.self().state() == Member.State.ALIVE) {
                detector.leave(monotonicMs());
                publish();
                armTimer();
            }
        });
    }

    private void publish() {
        figures = currentMetrics();
        StringBuilder list = new StringBuilder(256);
        appendMember(list, detector.self());
        detector.peers().forEach(member -> appendMember(list, member));
        memberList = list.toString();
        presentMembers = List.copyOf(detector.presentMembers());
    }

    private String currentMetrics() {
        ProtocolCounts counts = detector.counts();
        long suspects = detector.peers().stream()
                .filter(member -> member.state() == Member.State.SUSPECT)
                .count();
        StringBuilder text = new StringBuilder(512);
        appendMetric(text, "members", detector.presentMembers().size(), GAUGE);
        appendMetric(text, "suspects", suspects, GAUGE);
        appendMetric(text, "health", detector.healthScore(), GAUGE);
        appendMetric(text, "version", detector.version(), GAUGE);
        appendMetric(text, "incarnation", detector.self().incarnation(), GAUGE);
        appendMetric(text, "sent", sent, COUNTER);
        appendMetric(text, "received", received, COUNTER);
        appendMetric(text, "unreadable", unreadableDatagrams, COUNTER);
        appendMetric(text, "probes", counts.probes(), COUNTER);
        appendMetric(text, "acks", counts.acks(), COUNTER);
        appendMetric(text, "helped", counts.requestedProbes(), COUNTER);
        appendMetric(text, "suspicions", counts.suspicions(), COUNTER);
        appendMetric(text, "confirmed", counts.confirmedDeaths(), COUNTER);
        appendMetric(text, "refuted", counts.refutations(), COUNTER);
        appendMetric(text, "pauses", counts.pauses(), COUNTER);
        return text.toString();
    }

    private static void appendMetric(StringBuilder text, String key, long value, char kind) {
        text.append("membership.")
                .append(key)
                .append(':')
                .append(value)
                .append('|')
                .append(kind)
                .append('\n');
    }

    private static void appendMember(StringBuilder text, Member member) {
        text.append(member.name())
                .append(' ')
                .append(member.address())
                .append(' ')
                .append(member.incarnation())
                .append(' ')
                .append(member.state().name().toLowerCase(Locale.ROOT))
                .append('\n');
    }

    /** Returns the metrics, one per line, in the format of STATS. May be called on any thread. */
    public String figures() {
        return figures;
    }

    /** Returns the members that are present, including this one. May be called on any thread. */
    public List<Member> presentMembers() {
        return presentMembers;
    }

    /**
     * Returns all known members, this one first, one per line with name, address, incarnation and state. May be called
     * on any thread.
     */
    public String memberList() {
        return memberList;
    }

    private final class Host implements FailureDetector.Host {
        @Override
        public void send(String address, SwimMessage message) {
            try {
                HostAndPort to = HostAndPort.parse(address, "address");
                sent++;
                socket.send(Buffer.buffer(MembershipCodec.write(message)), to.port(), to.address())
                        .onFailure(e -> Logger.debug("membership: cannot send to {}: {}", address, e.getMessage()));
            } catch (InvalidConfigurationException e) {
                Logger.warn("membership: unusable address of a member: {}", e.getMessage());
            }
        }

        @Override
        public void memberChanged(Member before, Member after) {
            Logger.info("membership: {} is {} (incarnation {})", after.name(), after.state(), after.incarnation());
            if (settings.events()) {
                events.accept(Json.object()
                        .add("at_ms", System.currentTimeMillis())
                        .add("event", "member")
                        .add("observer", name)
                        .add("name", after.name())
                        .add("address", after.address())
                        .add("incarnation", after.incarnation())
                        .add("state", after.state().name())
                        .add(
                                "before",
                                before == null ? "UNKNOWN" : before.state().name())
                        .toString());
            }
        }
    }
}
