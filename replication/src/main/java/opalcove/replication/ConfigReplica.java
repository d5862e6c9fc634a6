package opalcove.replication;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import opalcove.config.InvalidConfigurationException;
import opalcove.configlease.ConfigLease;
import opalcove.configlease.LeaseConfig;
import opalcove.configlease.LeaseState;
import opalcove.configlease.VersionLog;

/**
 * One gateway's part in agreed versions, without sockets and timers of its own: its {@link ConfigLease} and, where it votes, its
 * {@link RaftVoter}, and what the packets between gateways do to them. The program's host runs it on datagrams, the laboratory's
 * in virtual time. All on one thread.
 */
public final class ConfigReplica {
    /** What a desk has its host do. */
    public interface Host {
        /** Milliseconds that only go forward, of this gateway alone. */
        long now();

        /** Sends a packet to an address; it may be lost. */
        void send(String address, ReplicationMessage packet);

        /** Runs the task so much later, never within this call. */
        void later(long ms, Runnable task);

        /** What may be acted on has changed. */
        void stands(LeaseState before, LeaseState after, String text);
    }

    /** A gateway; voters: name and address; store: where its vote is kept, null in a model or where it does not vote. */
    public record Setup(
            String name,
            String address,
            Map<String, String> voters,
            boolean votes,
            RaftVoterStore store,
            long leaseMs,
            Random random,
            Consumer<String> check) {}

    /** How much faster the voters' clock goes than the wall's: the library's periods are whole seconds of it. */
    private static final int PACE = 4;

    private final Setup setup;
    private final Host host;
    private final ConfigLease lease;
    private final RaftVoter voter;
    /** Who asked within a lease's time, and is told of news: by address. */
    private final Map<String, Long> askers = new HashMap<>();

    /** Acts on packets for this process by its setup; the host sends and stores for it. */
    public ConfigReplica(Setup setup, Host host) {
        this.setup = setup;
        this.host = host;
        List<String> names = new ArrayList<>(setup.voters().keySet());
        lease = new ConfigLease(
                host.now(),
                names,
                names.contains(setup.name())
                        ? names.indexOf(setup.name())
                        : setup.random().nextInt(names.size()),
                LeaseConfig.of(setup.leaseMs()),
                new ConfigLease.Host() {
                    @Override
                    public void requestVersion(String asked, long number, long version) {
                        ours(asked, number, version);
                    }

                    @Override
                    public void leaseChanged(LeaseState before, LeaseState after, String text) {
                        host.stands(before, after, text);
                    }
                });
        voter = !setup.votes()
                ? null
                : new RaftVoter(
                        new RaftVoter.Setup(
                                setup.name(), names, setup.store(), new Executor(), new PacedClock(), setup.random()),
                        (to, message) -> host.send(
                                setup.voters().get(to),
                                packet(ReplicationMessage.Kind.RAFT, 0, ReplicationMessage.raft(message))),
                        this::agreed);
    }

    /** Takes part from now on; the host then calls {@link #tick} when it is due. */
    public void start() {
        if (voter != null) {
            voter.start();
        }
    }

    /** The lease, to be looked at. */
    public ConfigLease lease() {
        return lease;
    }

    /** Whether this process is a voter. */
    public boolean votes() {
        return voter != null;
    }

    /** Whether this gateway leads the voters, as far as it knows. */
    public boolean leads() {
        return voter != null && setup.name().equals(voter.leader());
    }

    /** Does what is due. */
    public void tick() {
        lease.tick(host.now());
    }

    private ReplicationMessage packet(ReplicationMessage.Kind kind, long number, JsonObject body) {
        return new ReplicationMessage(setup.name(), setup.address(), kind, number, body);
    }

    private void ours(String asked, long number, long version) {
        ReplicationMessage question =
                packet(ReplicationMessage.Kind.ASK, number, Json.object().add("v", version));
        if (asked.equals(setup.name()) && voter != null) {
            // Its own voter needs no network; the answer takes the usual way, past the leader where that is another.
            host.later(0, () -> asked(question));
        } else {
            host.send(setup.voters().get(asked), question);
        }
    }

    /** Takes a packet in; one that makes no sense fails and changes nothing. */
    public void received(ReplicationMessage packet) {
        switch (packet.kind()) {
            case RAFT -> {
                if (voter != null) {
                    voter.handle(packet.raft());
                }
            }
            case ASK -> asked(packet);
            case PROPOSE -> proposed(packet);
            case HISTORY -> answer(packet, ReplicationMessage.Kind.VERSIONS, history());
            case TOLD, DECIDED -> answered(packet);
            case NEWS -> lease.onVersionAnnounced(host.now(), packet.version());
            default -> throw new InvalidConfigurationException("nobody here asked for " + packet.kind());
        }
    }

    /** Has the leader see to a question, where this voter is not it: who asks knows any voter. False where it is up to it. */
    private boolean passedOn(ReplicationMessage packet) {
        if (voter == null) {
            return true;
        }
        String leader = voter.leader();
        if (setup.name().equals(leader)) {
            return false;
        }
        if (leader != null && packet.origin() == null) {
            JsonObject body =
                    packet.body().add("o", Json.object().add("n", packet.from()).add("a", packet.address()));
            host.send(setup.voters().get(leader), packet.by(setup.name(), setup.address(), body));
        }
        return true;
    }

    private void asked(ReplicationMessage packet) {
        if (voter != null && packet.origin() == null) {
            askers.put(packet.address(), host.now());
        }
        if (passedOn(packet)) {
            return;
        }
        voter.confirm(
                newest -> {
                    JsonObject body = Json.object().add("v", newest.number());
                    if (newest.number() != packet.version()) {
                        body.add("t", ReplicationMessage.packed(newest.text()));
                    }
                    answer(packet, ReplicationMessage.Kind.TOLD, body);
                },
                () -> {});
    }

    private void proposed(ReplicationMessage packet) {
        if (passedOn(packet)) {
            return;
        }
        String text = packet.text();
        String id = packet.body().getString("id", "");
        try {
            setup.check().accept(text == null ? "" : text);
            int packed = ReplicationMessage.packed(text).length();
            if (id.isEmpty() || packed > ReplicationMessage.MOST_BYTES / 2) {
                throw new InvalidConfigurationException(
                        id.isEmpty()
                                ? "a proposal needs an id"
                                : "the document is too large: " + packed + " bytes deflated, of "
                                        + ReplicationMessage.MOST_BYTES / 2);
            }
        } catch (InvalidConfigurationException e) {
            answer(packet, ReplicationMessage.Kind.DECIDED, decided(new VersionLog.Outcome(false, 0, e.getMessage())));
            return;
        }
        voter.propose(
                new VersionLog.Proposal(
                        id, packet.body().getLong("base", 0), packet.body().getString("by", ""), text),
                outcome -> answer(packet, ReplicationMessage.Kind.DECIDED, decided(outcome)),
                () -> {});
    }

    private static JsonObject decided(VersionLog.Outcome outcome) {
        return Json.object()
                .add("taken", outcome.accepted())
                .add("v", outcome.version())
                .add("reason", outcome.reason());
    }

    private JsonObject history() {
        JsonArray versions = new JsonArray();
        for (VersionLog.Version each : voter == null ? List.<VersionLog.Version>of() : voter.history()) {
            versions.add(Json.object()
                    .add("number", each.number())
                    .add("by", each.author())
                    .add("id", each.id()));
        }
        return Json.object().add("versions", versions);
    }

    private void answer(ReplicationMessage question, ReplicationMessage.Kind kind, JsonObject body) {
        if (question.origin() != null) {
            body.add("o", question.origin());
        }
        host.send(question.address(), packet(kind, question.number(), body));
    }

    private void answered(ReplicationMessage packet) {
        if (packet.origin() != null) {
            String to = packet.origin().getString("a", "");
            packet.body().remove("o");
            host.send(to, packet.by(setup.name(), setup.address(), packet.body()));
        } else if (packet.kind() == ReplicationMessage.Kind.TOLD) {
            lease.onResponse(host.now(), packet.number(), packet.version(), packet.text());
        }
    }

    /** A version was agreed on: who asked of late is told that there is one, and asks. */
    private void agreed(long version) {
        long oldest = host.now() - setup.leaseMs();
        askers.values().removeIf(at -> at < oldest);
        for (String each : askers.keySet()) {
            host.send(
                    each, packet(ReplicationMessage.Kind.NEWS, 0, Json.object().add("v", version)));
        }
    }

    /** Runs the voter on the host's thread, in its own faster time. */
    private final class Executor implements RaftNodeExecutor {
        @Override
        public void execute(Runnable task) {
            host.later(0, task);
        }

        @Override
        public void submit(Runnable task) {
            host.later(0, task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            host.later(Math.max(1, unit.toMillis(delay) / PACE), task);
        }
    }

    private final class PacedClock extends Clock {
        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public long millis() {
            return host.now() * PACE;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(millis());
        }
    }
}
