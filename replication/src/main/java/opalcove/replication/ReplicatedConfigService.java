package opalcove.replication;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import opalcove.config.Clock;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.config.ReplicatedConfig;
import opalcove.configlease.ConfigLease;
import opalcove.configlease.LeaseState;
import opalcove.decision.DecisionSettings;
import opalcove.membership.Member;
import opalcove.recovery.Recovery;
import opalcove.recovery.Snapshot;
import org.tinylog.Logger;

/**
 * This process's part in agreed versions, on datagrams and timers: its {@link ConfigLease} and, where it is one of them, its
 * {@link RaftVoter}. It runs on an event loop of its own, apart from client work.
 */
public final class ReplicatedConfigService implements ReplicatedConfig {
    /** Makes it for the program that serves. */
    public static final class Maker implements Provider {
        @Override
        public ReplicatedConfig create(
                Vertx own, String name, JsonFields section, DecisionSettings settings, Consumer<String> events) {
            return new ReplicatedConfigService(own, name, ReplicationConfig.read(name, section), settings, events);
        }
    }

    private static final int BUFFER = 1 << 20;
    /** How often what is known is written, and how often the way back is looked at, ms. */
    private static final long SNAPSHOT_MS = 2000;

    private static final long PLAN_MS = 100;

    private final Vertx vertx;
    private final String name;
    private final ReplicationConfig settings;
    private final DecisionSettings own;
    private final Consumer<String> events;
    private final DatagramSocket socket;
    private final Promise<Void> heard = Promise.promise();
    private Consumer<EffectiveConfig> act;
    private Supplier<List<Member>> fleet;
    private ConfigReplica desk;
    /** Goes with the monotonic clock: a step of the wall clock neither delays the way back nor skips it. */
    private final Clock clock = new Clock();

    private final long startedMs = (long) clock.now();
    private final Snapshot snapshot;
    /** The way back after a start; null where nothing is kept. */
    private final Recovery recovery;

    private Recovery.Plan plan;
    private ConfigDocument held;
    private ConfigDocument before;
    private long timer = -1;
    private long unreadable;
    private boolean stateRefused;
    private boolean led;
    /** Until when a lapsed lease sends nothing to any node, and how many nodes are open now; -1: as discovery says. */
    private long closedTill;

    private int openNodes = -1;
    /** Whether this process has written a snapshot. */
    private boolean kept;
    /** What others read: what to act on once the lease has lapsed, and when that is (Long.MAX_VALUE: it cannot). */
    private volatile EffectiveConfig strict;

    private volatile long lapsesAt = Long.MAX_VALUE;
    private volatile String lines = "";

    ReplicatedConfigService(
            Vertx own, String name, ReplicationConfig settings, DecisionSettings ownSettings, Consumer<String> events) {
        vertx = own;
        this.name = name;
        this.settings = settings;
        this.own = ownSettings;
        this.events = events;
        Snapshot found = null;
        String whyNone = "";
        if (settings.snapshotFile() != null) {
            try {
                found = SnapshotFile.read(settings.snapshotFile(), name);
            } catch (IOException | InvalidConfigurationException e) {
                whyNone = e.getMessage();
                Logger.warn("recovery: the snapshot is refused: {}", whyNone);
            }
        }
        snapshot = found;
        recovery = settings.snapshotFile() == null
                ? null
                : new Recovery(startedMs, found, whyNone, Recovery.Figures.of((long) ownSettings.meterPeriodMs()));
        socket = own.createDatagramSocket(
                new DatagramSocketOptions().setReceiveBufferSize(BUFFER).setSendBufferSize(BUFFER));
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public List<Member> knownMembers() {
        return snapshot == null
                ? List.of()
                : snapshot.members().stream()
                        .map(each -> new Member(each.name(), each.address(), each.incarnation(), Member.State.ALIVE))
                        .toList();
    }

    @Override
    public Future<Void> start(Consumer<EffectiveConfig> acting, Supplier<List<Member>> members) {
        act = acting;
        fleet = members;
        return socket.listen(settings.listen().port(), settings.listen().address())
                .compose(open -> {
                    String address = settings.advertise().isEmpty()
                            ? settings.listen().address() + ":"
                                    + open.localAddress().port()
                            : settings.advertise();
                    open.handler(this::received);
                    open.exceptionHandler(e -> Logger.debug("agreement: {}", e.getMessage()));
                    RaftVoterStore store = store();
                    desk = new ConfigReplica(
                            new ConfigReplica.Setup(
                                    name,
                                    address,
                                    settings.voters(),
                                    store != null,
                                    store,
                                    settings.leaseMs(),
                                    new SecureRandom(),
                                    ConfigDocument::read),
                            new Host());
                    desk.start();
                    Logger.info(
                            "agreement: {} at {}, voters {}{}",
                            name,
                            address,
                            settings.voters().keySet(),
                            desk.votes() ? ", one of them" : "");
                    tick();
                    if (recovery != null) {
                        vertx.setPeriodic(SNAPSHOT_MS, due -> snapshot(false));
                        vertx.setPeriodic(PLAN_MS, due -> {
                            replan();
                            publish();
                        });
                    }
                    return heard.future();
                });
    }

    /** Looks at the way back again, and acts on what has changed. */
    private void replan() {
        Map<String, Long> there = new HashMap<>();
        fleet.get().stream()
                .filter(each -> !each.name().equals(name))
                .forEach(each -> there.put(each.name(), each.incarnation()));
        Recovery.Plan before = plan;
        plan = recovery.plan(
                (long) clock.now(),
                desk.lease().hasResponse() ? desk.lease().state().version() : -1,
                there);
        if (before != null && before.phase() == plan.phase()) {
            return;
        }
        Logger.info(
                "recovery: {}; trusted {}, refused {}, asked {}",
                plan.phase(),
                plan.trusted(),
                plan.refused(),
                plan.asked());
        JsonArray refused = new JsonArray();
        plan.refused().forEach(refused::add);
        event(Json.object()
                .add("event", "recovery")
                .add("phase", plan.phase().name())
                .add("refused", refused)
                .add("cold", plan.nodesCold()));
        if (plan.ready()) {
            act();
            heard.tryComplete();
        }
    }

    /** Writes what is known now, off this loop. */
    private Future<Void> snapshot(boolean clean) {
        if (recovery == null || plan == null || !plan.ready()) {
            // Until then the old snapshot knows more than this process.
            return Future.succeededFuture();
        }
        Snapshot now = new Snapshot(
                name,
                System.currentTimeMillis(),
                startedMs,
                clean,
                desk.lease().state().version(),
                desk.lease().text(),
                fleet.get().stream()
                        .filter(each -> !each.name().equals(name))
                        .map(each -> new Snapshot.Peer(each.name(), each.address(), each.incarnation()))
                        .toList());
        return vertx.<Void>executeBlocking(() -> {
                    SnapshotFile.write(settings.snapshotFile(), now);
                    return null;
                })
                .onSuccess(written -> {
                    if (!kept) {
                        kept = true;
                        event(Json.object().add("event", "snapshot"));
                    }
                })
                .onFailure(e -> Logger.warn("recovery: the snapshot is not written: {}", e.toString()));
    }

    @Override
    public void leave() {
        vertx.runOnContext(told -> snapshot(true));
    }

    /** Has the gateway act on what holds now. */
    private void act() {
        LeaseState standing = desk.lease().state();
        long coldSince = plan != null && plan.nodesCold() ? startedMs : 0;
        ConfigDocument base = held != null ? held : new ConfigDocument(own, null);
        boolean isStrict = standing.version() > 0 && standing.mode() != LeaseState.Mode.FULL;
        if (standing.version() == 0 && plan != null && plan.fromSnapshot()) {
            base = ConfigDocument.read(snapshot.text()).at(own);
            isStrict = true;
        }
        ConfigDocument least = base.strict(before == null ? base : before);
        boolean holds = plan != null && plan.quotasHeld();
        // A version that it did not hear of may have drained any node: at first a lapsed lease sends nothing to any.
        strict = acting(standing.version(), (holds ? least.held() : least).closed(), true, coldSince);
        EffectiveConfig next = !isStrict
                ? acting(standing.version(), holds ? base.held() : base, false, coldSince)
                : now() < closedTill
                        ? strict
                        : acting(standing.version(), holds ? least.held() : least, true, coldSince);
        openNodes = next.backends() == null ? -1 : next.backends().size();
        act.accept(next);
    }

    private static EffectiveConfig acting(long version, ConfigDocument document, boolean strict, long coldSince) {
        return new EffectiveConfig(version, document.settings(), document.nodes(), strict, coldSince);
    }

    /** Where this gateway's vote is kept; null where it does not vote, or must not, since its state is refused. */
    private RaftVoterStore store() {
        if (!settings.voters().containsKey(name)) {
            return null;
        }
        try {
            return RaftVoterStore.open(settings.stateFile());
        } catch (IOException | InvalidConfigurationException e) {
            // Without its vote and its log it could undo what was agreed: it follows the others and votes no more.
            stateRefused = true;
            Logger.error("agreement: the state is refused and {} does not vote: {}", name, e.getMessage());
            event(Json.object().add("event", "state_refused").add("reason", e.getMessage()));
            return null;
        }
    }

    private void tick() {
        desk.tick();
        settle();
    }

    /** Publishes what others read, and sets the timer to when there is work. */
    private void settle() {
        if (recovery != null) {
            replan();
        } else if (desk.lease().hasResponse()) {
            heard.tryComplete();
        }
        LeaseState standing = desk.lease().state();
        lapsesAt = standing.mode() == LeaseState.Mode.FULL ? standing.expiresAtMs() : Long.MAX_VALUE;
        publish();
        if (timer >= 0) {
            vertx.cancelTimer(timer);
        }
        timer = vertx.setTimer(Math.max(1, desk.lease().nextTickMs() - now()), due -> {
            timer = -1;
            tick();
        });
    }

    private void received(DatagramPacket datagram) {
        try {
            desk.received(ReplicationMessage.read(datagram.data().getBytes()));
            settle();
        } catch (InvalidConfigurationException | IllegalArgumentException | UnsupportedOperationException e) {
            unreadable++;
            Logger.debug("agreement: a datagram is not read: {}", e.getMessage());
        }
    }

    @Override
    public EffectiveConfig effectiveIfExpired() {
        return now() >= lapsesAt ? strict : null;
    }

    @Override
    public String figures() {
        long left = lapsesAt == Long.MAX_VALUE ? 0 : Math.max(0, lapsesAt - now());
        return lines + "agreement.lease_left_ms:" + left + "|g\n";
    }

    private void event(JsonObject event) {
        if (settings.events()) {
            events.accept(event.add("at_ms", System.currentTimeMillis())
                    .add("observer", name)
                    .toString());
        }
    }

    private void publish() {
        if (desk.leads() != led) {
            led = desk.leads();
            event(Json.object().add("event", "leads").add("leads", led));
        }
        ConfigLease.Counts counts = desk.lease().counts();
        StringBuilder text = new StringBuilder(256);
        figure(text, "version", desk.lease().state().version(), 'g');
        figure(text, "behind", desk.lease().state().mode() == LeaseState.Mode.FULL ? 0 : 1, 'g');
        figure(text, "voter", desk.votes() ? 1 : 0, 'g');
        figure(text, "leader", desk.leads() ? 1 : 0, 'g');
        figure(text, "state_refused", stateRefused ? 1 : 0, 'c');
        figure(text, "asked", counts.requested(), 'c');
        figure(text, "confirmed", counts.confirmed(), 'c');
        figure(text, "expired", counts.expired(), 'c');
        figure(text, "adopted", counts.adopted(), 'c');
        figure(text, "unreadable", unreadable, 'c');
        if (plan != null) {
            text.append("recovery.phase:")
                    .append(plan.phase().ordinal())
                    .append("|g\nrecovery.snapshot_age_ms:")
                    .append(snapshot == null ? -1 : Math.max(0, startedMs - snapshot.writtenMs()))
                    .append("|g\nrecovery.trusted:")
                    .append(plan.trusted().size())
                    .append("|g\nrecovery.refused:")
                    .append(plan.refused().size())
                    .append("|g\n");
        }
        lines = text.toString();
    }

    private static void figure(StringBuilder text, String figure, long value, char kind) {
        text.append("agreement.")
                .append(figure)
                .append(':')
                .append(value)
                .append('|')
                .append(kind)
                .append('\n');
    }

    private final class Host implements ConfigReplica.Host {
        @Override
        public long now() {
            return ReplicatedConfigService.now();
        }

        @Override
        public void send(String address, ReplicationMessage packet) {
            byte[] bytes = packet.bytes();
            if (bytes.length > ReplicationMessage.MOST_BYTES) {
                Logger.error(
                        "agreement: {} of {} bytes is not sent: too large for a datagram", packet.kind(), bytes.length);
                return;
            }
            HostAndPort to = HostAndPort.read(address, "address");
            socket.send(Buffer.buffer(bytes), to.port(), to.address())
                    .onFailure(e -> Logger.debug("agreement: not sent to {}: {}", to, e.getMessage()));
        }

        @Override
        public void later(long ms, Runnable task) {
            if (ms <= 0) {
                vertx.runOnContext(run -> task.run());
            } else {
                vertx.setTimer(ms, due -> task.run());
            }
        }

        @Override
        public void stands(LeaseState was, LeaseState is, String text) {
            if (is.version() != was.version()) {
                before = held;
                held = ConfigDocument.read(text).at(own);
            }
            if (is.mode() == LeaseState.Mode.STRICT) {
                long graceMs = settings.leaseMs() / 4;
                closedTill = now() + graceMs;
                vertx.setTimer(graceMs, due -> act());
            }
            act();
            Logger.info("agreement: version {} is acted on {}", is.version(), is.mode());
            event(Json.object()
                    .add("event", "acting")
                    .add("version", is.version())
                    .add("mode", is.mode().name())
                    .add("nodes", openNodes)
                    .add("ended_ms", System.currentTimeMillis() + Math.min(0, was.expiresAtMs() - now())));
        }
    }
}
