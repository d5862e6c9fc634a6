package opalcove.replication;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.configlease.VersionLog;
import opalcove.replication.ReplicationMessage.Kind;

/**
 * A client of the voters, used by commands. It sends a request to one voter after another until one responds. It binds
 * to loopback and therefore has to run on the machine of a voter. Each call blocks. The client is stateless and may be
 * used on any thread.
 */
public final class ReplicationClient {
    private static final int RESPONSE_TIMEOUT_MS = 300;
    /** No version has this number, so every response contains the document. */
    private static final long NO_HELD_VERSION = -1;

    private final List<HostAndPort> voters;
    private final long callTimeoutMs;

    /** Creates a client of the voters at these addresses; callTimeoutMs limits a call including all its attempts. */
    public ReplicationClient(List<HostAndPort> voters, long callTimeoutMs) {
        this.voters = List.copyOf(voters);
        this.callTimeoutMs = callTimeoutMs;
    }

    /**
     * Returns the version in effect; its number is 0 if there is none.
     *
     * @throws IOException if no voter responds in time
     */
    public VersionLog.Version current() throws IOException {
        ReplicationMessage response =
                call(Kind.VERSION_REQUEST, Kind.VERSION_RESPONSE, ReplicationMessage.versionBody(NO_HELD_VERSION));
        return new VersionLog.Version(response.version(), "", "", response.version() == 0 ? "" : response.text());
    }

    /**
     * Returns the last versions, oldest first, without their documents.
     *
     * @throws IOException if no voter responds in time
     */
    public List<VersionLog.Version> history() throws IOException {
        return call(Kind.HISTORY_REQUEST, Kind.HISTORY_RESPONSE, Json.object()).history();
    }

    /**
     * Proposes a complete new document to replace a version, and repeats the proposal until the outcome is known.
     *
     * @throws IOException if no voter responds in time; the outcome is unknown then
     */
    public VersionLog.Outcome propose(long baseVersion, String author, String text) throws IOException {
        VersionLog.Proposal proposal = new VersionLog.Proposal(UUID.randomUUID().toString(), baseVersion, author, text);
        return call(Kind.PROPOSAL, Kind.PROPOSAL_RESPONSE, ReplicationMessage.proposalBody(proposal))
                .outcome();
    }

    private ReplicationMessage call(Kind kind, Kind responseKind, JsonObject body) throws IOException {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
            String address = socket.getLocalAddress().getHostAddress() + ":" + socket.getLocalPort();
            byte[] request = new ReplicationMessage("client-" + socket.getLocalPort(), address, kind, 1, body).bytes();
            if (request.length > ReplicationMessage.MAX_BYTES) {
                throw new InvalidConfigurationException(
                        "the document is too large for a datagram: " + request.length + " bytes");
            }
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(callTimeoutMs);
            for (int attempt = 0; System.nanoTime() < endNanos; attempt++) {
                ReplicationMessage response = request(socket, request, voters.get(attempt % voters.size()));
                if (response != null && response.kind() == responseKind) {
                    return response;
                }
            }
            throw new IOException("none of the voters " + voters + " answered within " + callTimeoutMs + " ms");
        }
    }

    /** Sends a request and returns the next message; null if none arrives in time. */
    private static ReplicationMessage request(DatagramSocket socket, byte[] request, HostAndPort voter)
            throws IOException {
        socket.send(new DatagramPacket(request, request.length, new InetSocketAddress(voter.address(), voter.port())));
        byte[] buffer = new byte[ReplicationMessage.MAX_BYTES + 1];
        try {
            DatagramPacket response = new DatagramPacket(buffer, buffer.length);
            socket.receive(response);
            return ReplicationMessage.read(Arrays.copyOf(buffer, response.getLength()));
        } catch (SocketTimeoutException e) {
            return null;
        }
    }
}
