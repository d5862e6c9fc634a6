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

/** Messages between members as datagrams: one JSON object each, names of one letter, the sender first. */
public final class MembershipCodec {
    private static final int LONGEST_NAME = 128;

    private MembershipCodec() {}

    /** The message's bytes. */
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
        JsonArray words = new JsonArray();
        for (GossipEntry word : message.gossip()) {
            JsonObject each = member(word.member());
            if (!word.accuser().isEmpty()) {
                each.add("b", word.accuser());
            }
            words.add(each);
        }
        return object.add("w", words).toString().getBytes(StandardCharsets.UTF_8);
    }

    private static JsonObject member(Member member) {
        return Json.object()
                .add("n", member.name())
                .add("a", member.address())
                .add("i", member.incarnation())
                .add("s", member.state().name());
    }

    /** Reads a message; one that is none fails with key and reason. */
    public static SwimMessage read(byte[] bytes) {
        JsonFields fields = JsonFields.parse(new String(bytes, StandardCharsets.UTF_8));
        List<GossipEntry> words = fields.objects("w").stream()
                .map(each -> new GossipEntry(member(each), name(each.textOr("b", ""), true)))
                .toList();
        return new SwimMessage(
                fields.choice("k", SwimMessage.Kind.class),
                member(fields.object("f")),
                fields.serial("s"),
                name(fields.textOr("t", ""), true),
                fields.textOr("a", ""),
                words);
    }

    private static Member member(JsonFields fields) {
        return new Member(
                name(fields.text("n"), false),
                fields.text("a"),
                fields.serial("i"),
                fields.choice("s", Member.State.class));
    }

    private static String name(String name, boolean mayBeEmpty) {
        if (name.isEmpty() && !mayBeEmpty
                || name.length() > LONGEST_NAME
                || !name.chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new InvalidConfigurationException(
                    "a member's name must be 1 to " + LONGEST_NAME + " visible characters");
        }
        return name;
    }
}
