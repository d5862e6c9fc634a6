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
 * A message about configuration versions between gateways, or between a client and a gateway: a JSON object in one
 * datagram.
 *
 * @param from the sender's name
 * @param address the sender's address
 * @param kind the kind of request or response
 * @param sequence the sequence number of the request, which its response repeats
 * @param body the fields of the kind; only the methods of this class read and write them
 */
public record ReplicationMessage(String from, String address, Kind kind, long sequence, JsonObject body) {
    /** The kind of a message, with its name in datagrams. */
    public enum Kind {
        /** A message of the Raft protocol between voters. */
        RAFT("RAFT"),
        /** Requests the newest version, and names the version that the sender holds. */
        VERSION_REQUEST("ASK"),
        /** The number of the newest version, and its document if the request named another version. */
        VERSION_RESPONSE("TOLD"),
        /** Announces a newer version. */
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

    /** The original sender of a forwarded request, a gateway or a client. */
    record Origin(String name, String address) {}

    /**
     * Maximum length of a message, in bytes. A datagram of this size fits on loopback, and on most networks with large
     * packets.
     */
    public static final int MAX_BYTES = 60_000;

    private static final int MAX_NAME_LENGTH = 256;

    private static final String RAFT_MESSAGE_KEY = "b";
    private static final String VERSION_KEY = "v";
    private static final String TEXT_KEY = "t";
    private static final String ORIGIN_KEY = "o";

    static JsonObject raftBody(byte[] message) {
        return Json.object().add(RAFT_MESSAGE_KEY, Base64.getEncoder().encodeToString(message));
    }

    static JsonObject versionBody(long version) {
        return Json.object().add(VERSION_KEY, version);
    }

    /** Returns the body for a version with its document. */
    static JsonObject versionBody(long version, String text) {
        return versionBody(version).add(TEXT_KEY, packText(text));
    }

    /** Returns the body for a proposal. */
    public static JsonObject proposalBody(VersionLog.Proposal proposal) {
        return Json.object()
                .add("id", proposal.proposalId())
                .add("base", proposal.baseVersion())
                .add("by", proposal.author())
                .add(TEXT_KEY, packText(proposal.text()));
    }

    static JsonObject outcomeBody(VersionLog.Outcome outcome) {
        return Json.object()
                .add("taken", outcome.accepted())
                .add(VERSION_KEY, outcome.version())
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

    /** Returns the content of the datagram. */
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
     * @throws InvalidConfigurationException with key and reason, if the bytes are not a valid message
     */
    public static ReplicationMessage read(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        JsonFields fields = JsonFields.parse(text);
        String name = fields.object("f").text("n");
        if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
            throw new InvalidConfigurationException(
                    "field f.n must be a name of 1 to " + MAX_NAME_LENGTH + " characters");
        }
        JsonObject body = Json.parse(text).asObject();
        body.remove("f").remove("k").remove("s");
        return new ReplicationMessage(
                name, fields.object("f").text("a"), Kind.read(fields), fields.longInteger("s"), body);
    }

    /** Returns this request as forwarded by another gateway; the origin is the sender of this message. */
    ReplicationMessage forwardedBy(String sender, String senderAddress) {
        JsonObject origin = Json.object().add("n", from).add("a", address);
        return new ReplicationMessage(sender, senderAddress, kind, sequence, body.add(ORIGIN_KEY, origin));
    }

    /** Returns this response as sent to the origin by the gateway that forwarded the request. */
    ReplicationMessage returnedBy(String sender, String senderAddress) {
        return new ReplicationMessage(sender, senderAddress, kind, sequence, body.remove(ORIGIN_KEY));
    }

    /** Adds the origin of this request, if it was forwarded, to the body of its response. */
    JsonObject withOrigin(JsonObject responseBody) {
        JsonValue origin = body.get(ORIGIN_KEY);
        return origin == null ? responseBody : responseBody.add(ORIGIN_KEY, origin.asObject());
    }

    /** Returns the original sender of a forwarded request; null if the message was not forwarded. */
    Origin origin() {
        JsonValue origin = body.get(ORIGIN_KEY);
        return origin == null
                ? null
                : new Origin(
                        origin.asObject().getString("n", ""), origin.asObject().getString("a", ""));
    }

    /** Returns the number of the version in the message; 0 if it names none. */
    long version() {
        return body.getLong(VERSION_KEY, 0);
    }

    /** Returns the document in the message; null if it has none. */
    String text() {
        String packed = body.getString(TEXT_KEY, null);
        return packed == null ? null : SerializedForm.read(Base64.getDecoder().decode(packed), String.class);
    }

    byte[] raftMessage() {
        return Base64.getDecoder().decode(body.getString(RAFT_MESSAGE_KEY, ""));
    }

    /** Returns the id of the proposal; empty if it has none. */
    String proposalId() {
        return body.getString("id", "");
    }

    /** Returns the proposal with the given unpacked document. */
    VersionLog.Proposal proposal(String text) {
        return new VersionLog.Proposal(proposalId(), body.getLong("base", 0), body.getString("by", ""), text);
    }

    /** Returns the outcome of a proposal. */
    public VersionLog.Outcome outcome() {
        return new VersionLog.Outcome(body.getBoolean("taken", false), version(), body.getString("reason", ""));
    }

    /** Returns the last versions, oldest first, without their documents. */
    List<VersionLog.Version> history() {
        List<VersionLog.Version> versions = new ArrayList<>();
        for (JsonValue each : body.get("versions").asArray()) {
            JsonObject version = each.asObject();
            versions.add(new VersionLog.Version(
                    version.getLong("number", 0), version.getString("id", ""), version.getString("by", ""), ""));
        }
        return versions;
    }

    /** Returns a document in the form used in messages: serialized, deflated and in Base64. */
    static String packText(String text) {
        return Base64.getEncoder().encodeToString(SerializedForm.write(text));
    }
}
