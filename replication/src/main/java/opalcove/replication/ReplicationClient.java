package opalcove.replication;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.configlease.VersionLog;

/** Asks the voters from outside, as operators' commands do: each in turn, until one answers. For the machine of a voter. */
public final class ReplicationClient {
    private static final int PATIENCE_MS = 300;

    private final List<HostAndPort> voters;
    private final long mostMs;

    /** Voters' addresses, and how long all of a call may take, ms. */
    public ReplicationClient(List<HostAndPort> voters, long mostMs) {
        this.voters = List.copyOf(voters);
        this.mostMs = mostMs;
    }

    /** The version in force; number 0 where there is none. */
    public VersionLog.Version show() throws IOException {
        ReplicationMessage told = call(
                ReplicationMessage.Kind.ASK,
                ReplicationMessage.Kind.TOLD,
                Json.object().add("v", -1));
        return new VersionLog.Version(told.version(), "", "", told.version() == 0 ? "" : told.text());
    }

    /** The last versions, oldest first, without their texts. */
    public List<VersionLog.Version> history() throws IOException {
        List<VersionLog.Version> versions = new ArrayList<>();
        ReplicationMessage told =
                call(ReplicationMessage.Kind.HISTORY, ReplicationMessage.Kind.VERSIONS, Json.object());
        for (JsonValue each : told.body().get("versions").asArray()) {
            JsonObject version = each.asObject();
            versions.add(new VersionLog.Version(
                    version.getLong("number", 0), version.getString("id", ""), version.getString("by", ""), ""));
        }
        return versions;
    }

    /** Proposes a whole new text in place of version {@code base}; repeated until its outcome is known. */
    public VersionLog.Outcome propose(long base, String by, String text) throws IOException {
        ReplicationMessage decided = call(
                ReplicationMessage.Kind.PROPOSE,
                ReplicationMessage.Kind.DECIDED,
                Json.object()
                        .add("id", UUID.randomUUID().toString())
                        .add("base", base)
                        .add("by", by)
                        .add("t", ReplicationMessage.packed(text)));
        return new VersionLog.Outcome(
                decided.body().getBoolean("taken", false),
                decided.version(),
                decided.body().getString("reason", ""));
    }

    private ReplicationMessage call(ReplicationMessage.Kind kind, ReplicationMessage.Kind wanted, JsonObject body)
            throws IOException {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            socket.setSoTimeout(PATIENCE_MS);
            String address = socket.getLocalAddress().getHostAddress() + ":" + socket.getLocalPort();
            byte[] question = new ReplicationMessage("client-" + socket.getLocalPort(), address, kind, 1, body).bytes();
            if (question.length > ReplicationMessage.MOST_BYTES) {
                throw new InvalidConfigurationException(
                        "the document is too large for a datagram: " + question.length + " bytes");
            }
            byte[] buffer = new byte[ReplicationMessage.MOST_BYTES + 1];
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
            for (int turn = 0; System.nanoTime() < end; turn++) {
                HostAndPort to = voters.get(turn % voters.size());
                socket.send(
                        new DatagramPacket(question, question.length, new InetSocketAddress(to.address(), to.port())));
                try {
                    DatagramPacket answer = new DatagramPacket(buffer, buffer.length);
                    socket.receive(answer);
                    ReplicationMessage packet = ReplicationMessage.read(Arrays.copyOf(buffer, answer.getLength()));
                    if (packet.kind() == wanted) {
                        return packet;
                    }
                } catch (SocketTimeoutException e) {
                    continue; // The next voter.
                }
            }
            throw new IOException("none of the voters " + voters + " answered within " + mostMs + " ms");
        }
    }
}
