package opalcove.cluster;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
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
import opalcove.membership.SwimMessage;
import org.tinylog.Logger;

/**
 * This process as a member of the gateways' fleet: the protocol's part ({@link FailureDetector}) on datagrams and timers. It runs on
 * an event loop of its own, apart from client work, whose turns would look to the others like silence. What others read
 * of it ({@link #figures}, {@link #memberList}) is published at each tick, a gossip period apart at most: not at each datagram,
 * whose cost would grow with the fleet.
 */
public final class MembershipService {
    private static final int BUFFER = 1 << 20;

    private final Vertx vertx;
    private final String name;
    private final MembershipConfig settings;
    private final Consumer<String> events;
    private final DatagramSocket socket;
    private FailureDetector swim;
    private long timer = -1;
    private long sent;
    private long received;
    private long unreadable;
    private final List<Member> known;
    private volatile List<Member> fleet = List.of();
    private volatile String lines = "";
    private volatile String members = "";

    /** A member of that name, which knows some others from before; the events, where the settings want them, go to the consumer, a JSON object each. */
    public MembershipService(
            Vertx own, String name, MembershipConfig settings, List<Member> known, Consumer<String> events) {
        this.known = known;
        vertx = own;
        this.name = name;
        this.settings = settings;
        this.events = events;
        socket = own.createDatagramSocket(
                new DatagramSocketOptions().setReceiveBufferSize(BUFFER).setSendBufferSize(BUFFER));
    }

    /** Listens and joins; fails where the address cannot be listened at. */
    public Future<Void> start() {
        return socket.listen(settings.listen().port(), settings.listen().address())
                .map(open -> {
                    String address = settings.advertise().isEmpty()
                            ? settings.listen().address() + ":"
                                    + open.localAddress().port()
                            : settings.advertise();
                    // The time of the start as first incarnation: higher than that of any earlier process of this name.
                    swim = new FailureDetector(
                            now(),
                            name,
                            address,
                            System.currentTimeMillis(),
                            settings.seeds(),
                            settings.figures(),
                            new SplittableRandom(),
                            new Host());
                    swim.know(known);
                    open.handler(this::received);
                    open.exceptionHandler(e -> Logger.debug("membership: {}", e.getMessage()));
                    Logger.info("membership: {} at {}, seeds {}", name, address, settings.seeds());
                    tick();
                    return null;
                });
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void tick() {
        swim.tick(now());
        publish();
        arm();
    }

    /** Sets the timer to when there is work. */
    private void arm() {
        if (timer >= 0) {
            vertx.cancelTimer(timer);
        }
        timer = vertx.setTimer(Math.max(1, swim.due() - now()), due -> {
            timer = -1;
            tick();
        });
    }

    private void received(DatagramPacket packet) {
        SwimMessage message;
        try {
            message = MembershipCodec.read(packet.data().getBytes());
        } catch (InvalidConfigurationException e) {
            unreadable++;
            Logger.debug("membership: a datagram is not read: {}", e.getMessage());
            return;
        }
        received++;
        swim.receive(now(), message);
        arm();
    }

    /** Tells the others that this member goes; to be called some gossip periods before the process ends. */
    public void leave() {
        vertx.runOnContext(told -> {
            if (swim != null && swim.self().state() == Member.State.ALIVE) {
                swim.leave(now());
                publish();
                arm();
            }
        });
    }

    private void publish() {
        FailureDetector.Counts counts = swim.counts();
        long suspects = swim.others().stream()
                .filter(each -> each.state() == Member.State.SUSPECT)
                .count();
        StringBuilder text = new StringBuilder(512);
        figure(text, "members", swim.fleet().size(), 'g');
        figure(text, "suspects", suspects, 'g');
        figure(text, "health", swim.health(), 'g');
        figure(text, "version", swim.version(), 'g');
        figure(text, "incarnation", swim.self().incarnation(), 'g');
        figure(text, "sent", sent, 'c');
        figure(text, "received", received, 'c');
        figure(text, "unreadable", unreadable, 'c');
        figure(text, "probes", counts.probes(), 'c');
        figure(text, "acks", counts.acks(), 'c');
        figure(text, "helped", counts.helped(), 'c');
        figure(text, "suspicions", counts.suspicions(), 'c');
        figure(text, "confirmed", counts.confirmed(), 'c');
        figure(text, "refuted", counts.refuted(), 'c');
        figure(text, "pauses", counts.pauses(), 'c');
        lines = text.toString();
        StringBuilder list = new StringBuilder(256);
        line(list, swim.self());
        swim.others().forEach(each -> line(list, each));
        members = list.toString();
        fleet = List.copyOf(swim.fleet());
    }

    private static void figure(StringBuilder text, String figure, long value, char kind) {
        text.append("membership.")
                .append(figure)
                .append(':')
                .append(value)
                .append('|')
                .append(kind)
                .append('\n');
    }

    private static void line(StringBuilder text, Member member) {
        text.append(member.name())
                .append(' ')
                .append(member.address())
                .append(' ')
                .append(member.incarnation())
                .append(' ')
                .append(member.state().name().toLowerCase(Locale.ROOT))
                .append('\n');
    }

    /** The figures, a line each, in the form of the other figures. */
    public String figures() {
        return lines;
    }

    /** The members held for present, this one among them. */
    public List<Member> presentMembers() {
        return fleet;
    }

    /** What is known of each member, this one first: name, address, incarnation and state, a line each. */
    public String memberList() {
        return members;
    }

    private final class Host implements FailureDetector.Host {
        @Override
        public void send(String address, SwimMessage message) {
            try {
                HostAndPort at = HostAndPort.read(address, "address");
                sent++;
                socket.send(Buffer.buffer(MembershipCodec.write(message)), at.port(), at.address())
                        .onFailure(e -> Logger.debug("membership: not sent to {}: {}", address, e.getMessage()));
            } catch (InvalidConfigurationException e) {
                Logger.warn("membership: a member's address cannot be used: {}", e.getMessage());
            }
        }

        @Override
        public void changed(Member before, Member after) {
            Logger.info("membership: {} is {} (incarnation {})", after.name(), after.state(), after.incarnation());
            if (settings.events()) {
                JsonObject event = Json.object()
                        .add("at_ms", System.currentTimeMillis())
                        .add("event", "member")
                        .add("observer", name)
                        .add("name", after.name())
                        .add("address", after.address())
                        .add("incarnation", after.incarnation())
                        .add("state", after.state().name())
                        .add(
                                "before",
                                before == null ? "UNKNOWN" : before.state().name());
                events.accept(event.toString());
            }
        }
    }
}
