package opalcove.replication;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;

/**
 * A message between gateways about versions, one JSON object in a datagram: who sends it, what it is, its number, and what
 * goes with its kind. {@code o} is who asked, where another gateway passes the question or the answer on.
 */
public record ReplicationMessage(String from, String address, Kind kind, long number, JsonObject body) {
    /**
     * RAFT: between voters ({@code b}). ASK: which version is in force ({@code v}: the one held). TOLD: its number, and its
     * text ({@code t}) where it is another. NEWS: there may be version {@code v}. PROPOSE: id, base, by, t. DECIDED: taken, v,
     * reason. HISTORY, and VERSIONS in answer.
     */
    public enum Kind {
        RAFT,
        ASK,
        TOLD,
        NEWS,
        PROPOSE,
        DECIDED,
        HISTORY,
        VERSIONS
    }

    /** What a datagram holds on loopback and in most networks' largest packets. */
    public static final int MOST_BYTES = 60_000;

    private static final int LONGEST = 256;

    /** The datagram. */
    public byte[] bytes() {
        JsonObject object = Json.object()
                .add("f", Json.object().add("n", from).add("a", address))
                .add("k", kind.name())
                .add("s", number);
        body.forEach(member -> object.add(member.getName(), member.getValue()));
        return object.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Reads a packet; one that is none fails with key and reason. */
    public static ReplicationMessage read(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        JsonFields fields = JsonFields.parse(text);
        String name = fields.object("f").text("n");
        if (name.isEmpty() || name.length() > LONGEST) {
            throw new InvalidConfigurationException("field f.n must be a name");
        }
        JsonObject body = Json.parse(text).asObject();
        body.remove("f").remove("k").remove("s");
        return new ReplicationMessage(
                name, fields.object("f").text("a"), fields.choice("k", Kind.class), fields.serial("s"), body);
    }

    /** The same from another sender. */
    ReplicationMessage by(String sender, String senderAddress, JsonObject changed) {
        return new ReplicationMessage(sender, senderAddress, kind, number, changed);
    }

    long version() {
        return body.getLong("v", 0);
    }

    /** Who asked, where it is not the sender: name and address; null else. */
    JsonObject origin() {
        JsonValue origin = body.get("o");
        return origin == null ? null : origin.asObject();
    }

    byte[] raft() {
        return Base64.getDecoder().decode(body.getString("b", ""));
    }

    static JsonObject raft(byte[] message) {
        return Json.object().add("b", Base64.getEncoder().encodeToString(message));
    }

    /** A version's text, which goes deflated. */
    String text() {
        String packed = body.getString("t", null);
        return packed == null ? null : SerializedForm.read(Base64.getDecoder().decode(packed), String.class);
    }

    /** A version's text as it goes in a packet. */
    public static String packed(String text) {
        return Base64.getEncoder().encodeToString(SerializedForm.write(text));
    }
}
