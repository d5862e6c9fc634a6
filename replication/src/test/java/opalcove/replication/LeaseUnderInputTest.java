package opalcove.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import opalcove.configlease.LeaseState;
import opalcove.replication.ReplicationMessage.Kind;
import org.testng.annotations.Test;

/** Tests a gateway's lease while datagrams arrive without a pause, in virtual time. */
public class LeaseUnderInputTest {
    private static final long LEASE_MS = 2000;

    /** A host whose timers never fire, like timers that each datagram postpones. */
    private static final class Host implements ConfigReplica.Host {
        private final List<String> changes = new ArrayList<>();
        private long lastSequence;
        private long nowMs = 1000;

        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public void send(String address, ReplicationMessage message) {
            lastSequence = message.sequence();
        }

        @Override
        public void schedule(long delayMs, Runnable task) {}

        @Override
        public void leaseChanged(LeaseState before, LeaseState after, String text) {
            changes.add(after.mode() + " " + after.version());
        }
    }

    private static ReplicationMessage message(Kind kind, long sequence, long version) {
        return new ReplicationMessage("g2", "b:2", kind, sequence, ReplicationMessage.versionBody(version, "text"));
    }

    /** Guards against a lease that stays valid past its end because each datagram postpones the timer of that end. */
    @Test
    public void expiresLeaseInTimeWhenDatagramArrivesEveryMillisecond() {
        Host host = new Host();
        ConfigReplica.Setup setup = new ConfigReplica.Setup(
                "g1", "a:1", Map.of("g2", "b:2"), false, null, LEASE_MS, new Random(5), text -> {});
        ConfigReplica replica = new ConfigReplica(setup, host);
        replica.tick();
        replica.receive(message(Kind.VERSION_RESPONSE, host.lastSequence, 3));
        assertEquals(host.changes, List.of("FULL 3"));
        ReplicationMessage raftMessage = new ReplicationMessage("g2", "b:2", Kind.RAFT, 0, Json.object());
        for (int elapsedMs = 0; elapsedMs < 2 * LEASE_MS; elapsedMs++) {
            host.nowMs++;
            replica.receive(raftMessage);
            LeaseState lease = replica.lease().state();
            assertTrue(
                    lease.mode() == LeaseState.Mode.STRICT || host.nowMs < lease.expiresAtMs(),
                    lease + " at " + host.nowMs);
        }
        replica.receive(message(Kind.VERSION_ANNOUNCEMENT, 0, 4));
        replica.receive(message(Kind.VERSION_RESPONSE, host.lastSequence, 4));
        assertEquals(host.changes, List.of("FULL 3", "STRICT 3", "FULL 4"));
    }
}
