package opalcove.cluster;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.List;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.membership.GossipEntry;
import opalcove.membership.Member;
import opalcove.membership.SwimMessage;

/**
 * Writes and reads the messages between members. A datagram is one JSON object whose keys have one letter; the sender
 * comes first.
 */
public final class MembershipCodec {
    private static final int MAX_NAME_LENGTH = 128;

    private MembershipCodec() {}

    /** Returns the message as a datagram. */
    public static byte[] write(SwimMessage message) {
        JsonObject object = Json.object()
                .add("f", member(message.from()))
                .add("k", message.kind().name())
                .add("s", message.sequence());
        if (!message.target().isEmpty()) {
            object.add("t", message.target());
        }
        if (!message.targetAddress().isEmpty()) {
            object.add("a", message.targetAddress());
        }
        JsonArray gossip = new JsonArray();
        for (GossipEntry entry : message.gossip()) {
            JsonObject member = member(entry.member());
            if (!entry.accuser().isEmpty()) {
                member.add("b", entry.accuser());
            }
            gossip.add(member);
        }
        return object.add("w", gossip).toString().getBytes(StandardCharsets.UTF_8);
    }

    private static JsonObject member(Member member) {
        return Json.object()
                .add("n", member.name())
                .add("a", member.address())
                .add("i", member.incarnation())
                .add("s", member.state().name());
    }

    /**
     * Reads a datagram.
     *
     * @throws InvalidConfigurationException if the datagram is not a valid message; it names the key and the reason
     */
    public static SwimMessage read(byte[] bytes) {
        JsonFields fields = JsonFields.parse(new String(bytes, StandardCharsets.UTF_8));
        List<GossipEntry> gossip = fields.objects("w").stream()
                .map(entry -> new GossipEntry(member(entry), name(entry.textOr("b", ""), true)))
                .toList();
        return new SwimMessage(
                fields.choice("k", SwimMessage.Kind.class),
                member(fields.object("f")),
                fields.longInteger("s"),
                name(fields.textOr("t", ""), true),
                fields.textOr("a", ""),
                gossip);
    }

    private static Member member(JsonFields fields) {
        return new Member(
                name(fields.text("n"), false),
                fields.text("a"),
                fields.longInteger("i"),
                fields.choice("s", Member.State.class));
    }

    private static String name(String name, boolean mayBeEmpty) {
        if (name.isEmpty() && !mayBeEmpty
                || name.length() > MAX_NAME_LENGTH
                || !name.chars().allMatch(character -> character > ' ' && character < 127)) {
            throw new InvalidConfigurationException(
                    "a member's name must be 1 to " + MAX_NAME_LENGTH + " visible characters");
        }
        return name;
    }
}
