package opalcove.replication;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.config.ReplicatedConfig;
import opalcove.configlease.LeaseState;
import opalcove.decision.DecisionSettings;
import opalcove.membership.Member;
import opalcove.recovery.RecoveryPlan;
import opalcove.recovery.Snapshot;
import opalcove.timer.TickTimer;
import org.tinylog.Logger;

/**
 * Runs this gateway's {@link ConfigReplica} on datagrams and timers, and its {@link RecoveryTracker} if a snapshot file
 * is configured. Owned by an event loop of its own, separate from client requests; {@link #effectiveIfExpired} and
 * {@link #figures} may be called on any thread.
 */
public final class ReplicatedConfigService implements ReplicatedConfig {
    /** Creates the service; the gateway finds this class through the service loader. */
    public static final class ServiceProvider implements Provider {
        @Override
        public ReplicatedConfig create(
                Vertx vertx, String name, JsonFields section, DecisionSettings settings, Consumer<String> events) {
            return new ReplicatedConfigService(vertx, name, ReplicationConfig.read(name, section), settings, events);
        }
    }

    private static final int SOCKET_BUFFER_BYTES = 1 << 20;
    private static final long SNAPSHOT_PERIOD_MS = 2000;
    private static final long RECOVERY_PERIOD_MS = 100;

    private final Vertx vertx;
    private final String name;
    private final ReplicationConfig settings;
    private final EventWriter events;
    private final DatagramSocket socket;
    private final Promise<Void> ready = Promise.promise();
    private final EffectiveConfigSelector selector;
    private final LeaseExpiry leaseExpiry = new LeaseExpiry();
    private final TickTimer timer;
    /** Null if no snapshot file is configured. */
    private final RecoveryTracker recovery;

    private Consumer<EffectiveConfig> onChange;
    private Supplier<List<Member>> memberSupplier;
    private ConfigReplica replica;
    private long unreadableDatagrams;
    private boolean isStateRejected;
    private boolean wasLeader;
    private boolean hasWrittenSnapshot;
    /** The number of backends in the configuration in effect; -1 if the endpoint list comes from discovery. */
    private int openBackends = -1;

    private volatile String figures = "";

    ReplicatedConfigService(
            Vertx vertx,
            String name,
            ReplicationConfig settings,
            DecisionSettings ownSettings,
            Consumer<String> events) {
        this.vertx = vertx;
        this.name = name;
        this.settings = settings;
        this.events = new EventWriter(settings.events(), name, events);
        selector = new EffectiveConfigSelector(ownSettings);
        timer = new TickTimer(vertx, ReplicatedConfigService::monotonicMs, this::tick);
        recovery = settings.snapshotFile() == null
                ? null
                : new RecoveryTracker(name, settings.snapshotFile(), (long) ownSettings.meterPeriodMs());
        socket = vertx.createDatagramSocket(new DatagramSocketOptions()
                .setReceiveBufferSize(SOCKET_BUFFER_BYTES)
                .setSendBufferSize(SOCKET_BUFFER_BYTES));
    }

    private static long monotonicMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public List<Member> knownMembers() {
        return recovery == null ? List.of() : recovery.knownMembers();
    }

    @Override
    public Future<Void> start(Consumer<EffectiveConfig> onEffectiveConfig, Supplier<List<Member>> presentMembers) {
        onChange = onEffectiveConfig;
        memberSupplier = presentMembers;
        return socket.listen(settings.listen().port(), settings.listen().address())
                .compose(boundSocket -> {
                    boundSocket.handler(this::onDatagram);
                    boundSocket.exceptionHandler(
                            e -> Logger.debug("agreement: error on the datagram socket: {}", e.getMessage()));
                    startReplica(
                            settings.advertise().isEmpty()
                                    ? settings.listen().address() + ":"
                                            + boundSocket.localAddress().port()
                                    : settings.advertise());
                    return ready.future();
                });
    }

    private void startReplica(String address) {
        RaftVoterStore store = openStore();
        replica = new ConfigReplica(
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
        replica.start();
        Logger.info(
                "agreement: gateway {} has the address {}, voters {}{}",
                name,
                address,
                settings.voters().keySet(),
                replica.isVoter() ? ", this gateway is a voter" : "");
        tick();
        if (recovery != null) {
            vertx.setPeriodic(SNAPSHOT_PERIOD_MS, timerId -> writeSnapshot(false));
            vertx.setPeriodic(RECOVERY_PERIOD_MS, timerId -> {
                advanceRecovery();
                publish();
            });
        }
    }

    /** Opens the voter's store; null if this gateway is no voter, or must not vote because its state is invalid. */
    private RaftVoterStore openStore() {
        if (!settings.voters().containsKey(name)) {
            return null;
        }
        try {
            return RaftVoterStore.open(settings.stateFile());
        } catch (IOException | InvalidConfigurationException e) {
            // A voter without its vote and its log could revert committed versions. The gateway therefore only follows
            // the other voters, and no longer votes.
            isStateRejected = true;
            Logger.error("agreement: state file rejected, gateway {} does not vote: {}", name, e.getMessage());
            events.write(Json.object().add("event", "state_refused").add("reason", e.getMessage()));
            return null;
        }
    }

    private void tick() {
        replica.tick();
        publishAndRearmTimer();
    }

    /** Publishes the lease and the figures to other threads, and sets the timer to the next tick. */
    private void publishAndRearmTimer() {
        if (recovery != null) {
            advanceRecovery();
        } else if (replica.lease().hasResponse()) {
            ready.tryComplete();
        }
        LeaseState lease = replica.lease().state();
        if (leaseExpiry.renew(lease.mode() == LeaseState.Mode.FULL ? lease.expiresAtMs() : LeaseExpiry.NEVER)) {
            activate();
        }
        publish();
        timer.arm(replica.lease().nextTickMs());
    }

    private void onDatagram(DatagramPacket datagram) {
        try {
            replica.receive(ReplicationMessage.read(datagram.data().getBytes()));
            publishAndRearmTimer();
        } catch (InvalidConfigurationException | IllegalArgumentException | UnsupportedOperationException e) {
            unreadableDatagrams++;
            Logger.debug("agreement: unreadable datagram: {}", e.getMessage());
        }
    }

    private void advanceRecovery() {
        if (!recovery.advance(replica.lease(), memberSupplier.get())) {
            return;
        }
        RecoveryPlan plan = recovery.plan();
        Logger.info(
                "recovery: phase {}; trusted {}, rejected {}, pending {}",
                plan.phase(),
                plan.trusted(),
                plan.refused(),
                plan.pending());
        JsonArray refused = new JsonArray();
        plan.refused().forEach(refused::add);
        events.write(Json.object()
                .add("event", "recovery")
                .add("phase", plan.phase().name())
                .add("refused", refused)
                .add("cold", plan.areBackendsWarmingUp()));
        if (plan.isReady()) {
            activate();
            ready.tryComplete();
        }
    }

    /** Writes a snapshot of the current state on a worker thread. */
    private void writeSnapshot(boolean isClean) {
        if (recovery == null || !recovery.isReady()) {
            // Before the recovery is ready, the old snapshot is more complete than this process's state.
            return;
        }
        Snapshot snapshot = recovery.currentSnapshot(isClean, replica.lease(), memberSupplier.get());
        vertx.<Void>executeBlocking(() -> {
                    recovery.write(snapshot);
                    return null;
                })
                .onSuccess(ignored -> {
                    if (!hasWrittenSnapshot) {
                        hasWrittenSnapshot = true;
                        events.write(Json.object().add("event", "snapshot"));
                    }
                })
                .onFailure(e -> Logger.warn("recovery: snapshot not written: {}", e.toString()));
    }

    @Override
    public void leave() {
        vertx.runOnContext(ignored -> writeSnapshot(true));
    }

    /** Passes the configuration that is in effect now to the gateway. */
    private void activate() {
        EffectiveConfigSelector.Selection selection =
                selector.select(replica.lease().state(), recovery, monotonicMs());
        leaseExpiry.setOnExpiry(selection.onExpiry());
        EffectiveConfig effective = selection.effective();
        openBackends = effective.backends() == null ? -1 : effective.backends().size();
        onChange.accept(effective);
    }

    @Override
    public EffectiveConfig effectiveIfExpired() {
        return leaseExpiry.takeIfExpired(monotonicMs());
    }

    @Override
    public String figures() {
        long untilMs = leaseExpiry.expiresAtMs();
        return figures
                + ReplicationFigures.leaseRemaining(
                        untilMs == LeaseExpiry.NEVER ? 0 : Math.max(0, untilMs - monotonicMs()));
    }

    private void publish() {
        if (replica.isLeader() != wasLeader) {
            wasLeader = replica.isLeader();
            events.write(Json.object().add("event", "leads").add("leads", wasLeader));
        }
        figures = ReplicationFigures.lines(replica, isStateRejected, unreadableDatagrams, recovery);
    }

    private final class Host implements ConfigReplica.Host {
        @Override
        public long nowMs() {
            return monotonicMs();
        }

        @Override
        public void send(String address, ReplicationMessage message) {
            byte[] bytes = message.bytes();
            if (bytes.length > ReplicationMessage.MAX_BYTES) {
                Logger.error(
                        "agreement: {} message of {} bytes not sent: too large for a datagram",
                        message.kind(),
                        bytes.length);
                return;
            }
            HostAndPort target = HostAndPort.parse(address, "address");
            socket.send(Buffer.buffer(bytes), target.port(), target.address())
                    .onFailure(e -> Logger.debug("agreement: datagram to {} not sent: {}", target, e.getMessage()));
        }

        @Override
        public void schedule(long delayMs, Runnable task) {
            if (delayMs <= 0) {
                vertx.runOnContext(ignored -> task.run());
            } else {
                vertx.setTimer(delayMs, timerId -> task.run());
            }
        }

        @Override
        public void leaseChanged(LeaseState before, LeaseState after, String text) {
            if (after.version() != before.version()) {
                selector.adopt(text);
            }
            if (after.mode() == LeaseState.Mode.STRICT) {
                // A version that this gateway did not receive may have drained any backend. No backend gets new
                // requests for a quarter of the lease.
                long graceMs = settings.leaseMs() / 4;
                selector.withholdBackendsUntil(monotonicMs() + graceMs);
                vertx.setTimer(graceMs, timerId -> activate());
            }
            activate();
            Logger.info("agreement: version {} is in effect, mode {}", after.version(), after.mode());
            events.write(Json.object()
                    .add("event", "acting")
                    .add("version", after.version())
                    .add("mode", after.mode().name())
                    .add("nodes", openBackends)
                    .add("ended_ms", System.currentTimeMillis() + Math.min(0, before.expiresAtMs() - monotonicMs())));
        }
    }
}
