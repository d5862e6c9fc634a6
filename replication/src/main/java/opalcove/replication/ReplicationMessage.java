package opalcove.replication;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.configlease.VersionLog;

/**
 * A message between gateways about versions of the configuration, one JSON object in a datagram.
 *
 * @param from the sender's name
 * @param address the sender's address
 * @param kind what the message requests or answers
 * @param sequence the number of the request, repeated in the response
 * @param body the fields that go with the kind; written and read by the methods here alone
 */
public record ReplicationMessage(String from, String address, Kind kind, long sequence, JsonObject body) {
    /** What a message requests or answers, each with its name in datagrams. */
    public enum Kind {
        /** A message of the consensus protocol, between voters. */
        RAFT("RAFT"),
        /** Requests the newest version; names the one held. */
        VERSION_REQUEST("ASK"),
        /** Number of the newest version, and its document if that is another one than the request named. */
        VERSION_RESPONSE("TOLD"),
        /** Announces that there is a newer version. */
        VERSION_ANNOUNCEMENT("NEWS"),
        /** Proposes a version. */
        PROPOSAL("PROPOSE"),
        /** The outcome of a proposal. */
        PROPOSAL_RESPONSE("DECIDED"),
        /** Requests the last versions. */
        HISTORY_REQUEST("HISTORY"),
        /** The last versions, without their documents. */
        HISTORY_RESPONSE("VERSIONS");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }

        private static Kind read(JsonFields fields) {
            String name = fields.text("k");
            for (Kind each : values()) {
                if (each.wireName.equals(name.toUpperCase(Locale.ROOT))) {
                    return each;
                }
            }
            throw new InvalidConfigurationException("k", "has an unknown value " + name);
        }
    }

    /** The gateway or client that a forwarded request came from. */
    record Origin(String name, String address) {}

    /**
     * Maximum length of a message, in bytes: what a datagram holds on loopback, and on most networks with large
     * packets.
     */
    public static final int MAX_BYTES = 60_000;

    private static final int MAX_NAME_LENGTH = 256;

    private static final String RAFT_MESSAGE = "b";
    private static final String VERSION = "v";
    private static final String TEXT = "t";
    private static final String ORIGIN = "o";

    static JsonObject raftBody(byte[] message) {
        return Json.object().add(RAFT_MESSAGE, Base64.getEncoder().encodeToString(message));
    }

    static JsonObject versionBody(long version) {
        return Json.object().add(VERSION, version);
    }

    /** A version with its document. */
    static JsonObject versionBody(long version, String text) {
        return versionBody(version).add(TEXT, packed(text));
    }

    /** A proposal's body. */
    public static JsonObject proposalBody(VersionLog.Proposal proposal) {
        return Json.object()
                .add("id", proposal.proposalId())
                .add("base", proposal.baseVersion())
                .add("by", proposal.author())
                .add(TEXT, packed(proposal.text()));
    }

    static JsonObject outcomeBody(VersionLog.Outcome outcome) {
        return Json.object()
                .add("taken", outcome.accepted())
                .add(VERSION, outcome.version())
                .add("reason", outcome.reason());
    }

    static JsonObject historyBody(List<VersionLog.Version> history) {
        JsonArray versions = new JsonArray();
        for (VersionLog.Version each : history) {
            versions.add(Json.object()
                    .add("number", each.number())
                    .add("by", each.author())
                    .add("id", each.proposalId()));
        }
        return Json.object().add("versions", versions);
    }

    /** The datagram. */
    public byte[] bytes() {
        JsonObject object = Json.object()
                .add("f", Json.object().add("n", from).add("a", address))
                .add("k", kind.wireName)
                .add("s", sequence);
        body.forEach(member -> object.add(member.getName(), member.getValue()));
        return object.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Reads a datagram.
     *
     * @throws InvalidConfigurationException with key and reason, if it is no message
     */
    public static ReplicationMessage read(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        JsonFields fields = JsonFields.parse(text);
        String name = fields.object("f").text("n");
        if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
            throw new InvalidConfigurationException("field f.n must be a name");
        }
        JsonObject body = Json.parse(text).asObject();
        body.remove("f").remove("k").remove("s");
        return new ReplicationMessage(
                name, fields.object("f").text("a"), Kind.read(fields), fields.longInteger("s"), body);
    }

    /** The same request, forwarded by another gateway, with its sender as origin. */
    ReplicationMessage forwardedBy(String sender, String senderAddress) {
        JsonObject origin = Json.object().add("n", from).add("a", address);
        return new ReplicationMessage(sender, senderAddress, kind, sequence, body.add(ORIGIN, origin));
    }

    /** The same response, returned to the origin by the gateway that forwarded the request. */
    ReplicationMessage returnedBy(String sender, String senderAddress) {
        return new ReplicationMessage(sender, senderAddress, kind, sequence, body.remove(ORIGIN));
    }

    /** The body of a response to this request: a forwarded request's origin goes back with it. */
    JsonObject withOrigin(JsonObject responseBody) {
        JsonValue origin = body.get(ORIGIN);
        return origin == null ? responseBody : responseBody.add(ORIGIN, origin.asObject());
    }

    /** Whom a forwarded request came from; null if the message was not forwarded. */
    Origin origin() {
        JsonValue origin = body.get(ORIGIN);
        return origin == null
                ? null
                : new Origin(
                        origin.asObject().getString("n", ""), origin.asObject().getString("a", ""));
    }

    /** The number of the version that the message is about; 0 if it names none. */
    long version() {
        return body.getLong(VERSION, 0);
    }

    /** The document of a version; null if the message has none. */
    String text() {
        String packed = body.getString(TEXT, null);
        return packed == null ? null : SerializedForm.read(Base64.getDecoder().decode(packed), String.class);
    }

    byte[] raftMessage() {
        return Base64.getDecoder().decode(body.getString(RAFT_MESSAGE, ""));
    }

    /** A proposal's id; empty if it has none. */
    String proposalId() {
        return body.getString("id", "");
    }

    /** The proposal, with its document unpacked. */
    VersionLog.Proposal proposal(String text) {
        return new VersionLog.Proposal(proposalId(), body.getLong("base", 0), body.getString("by", ""), text);
    }

    /** The outcome of a proposal. */
    public VersionLog.Outcome outcome() {
        return new VersionLog.Outcome(body.getBoolean("taken", false), version(), body.getString("reason", ""));
    }

    /** The last versions, oldest first, without their documents. */
    List<VersionLog.Version> history() {
        List<VersionLog.Version> versions = new ArrayList<>();
        for (JsonValue each : body.get("versions").asArray()) {
            JsonObject version = each.asObject();
            versions.add(new VersionLog.Version(
                    version.getLong("number", 0), version.getString("id", ""), version.getString("by", ""), ""));
        }
        return versions;
    }

    /** A document as it is sent, deflated. */
    static String packed(String text) {
        return Base64.getEncoder().encodeToString(SerializedForm.write(text));
    }
}
