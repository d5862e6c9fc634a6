package opalcove.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import opalcove.cluster.MembershipCodec;
import opalcove.cluster.MembershipConfig;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.membership.GossipEntry;
import opalcove.membership.Member;
import opalcove.membership.SwimMessage;
import org.testng.annotations.Test;

/**
 * Tests the section {@code membership} of the configuration and the datagrams between members: invalid ones must be
 * rejected with key and reason.
 */
public class MembershipSectionTest {
    private static final Member SELF = new Member("g1", "127.0.0.1:7000", 17, Member.State.ALIVE);

    @Test
    public void readsMessageAsWritten() {
        SwimMessage message = new SwimMessage(
                SwimMessage.Kind.PING_REQ,
                SELF,
                42,
                "g3",
                "127.0.0.1:7003",
                List.of(
                        new GossipEntry(new Member("g2", "127.0.0.1:7002", 3, Member.State.SUSPECT), "g4"),
                        new GossipEntry(SELF, "")));
        assertEquals(MembershipCodec.read(MembershipCodec.write(message)), message);
    }

    @Test
    public void rejectsDatagramThatIsTruncatedOrInvalid() {
        byte[] datagram = MembershipCodec.write(
                new SwimMessage(SwimMessage.Kind.PING, SELF, 1, "g2", "", List.of(new GossipEntry(SELF, ""))));
        String text = new String(datagram, StandardCharsets.UTF_8);
        for (int length = 0; length < datagram.length; length++) {
            byte[] truncated = text.substring(0, length).getBytes(StandardCharsets.UTF_8);
            assertThrows(InvalidConfigurationException.class, () -> MembershipCodec.read(truncated));
        }
        for (String[] invalid : new String[][] {
            {"\"k\":\"PING\"", "\"k\":\"DANCE\"", "field k"},
            {"\"n\":\"g1\"", "\"n\":\"\"", "name"},
            {"\"i\":17", "\"i\":\"x\"", "i must be a number"}
        }) {
            InvalidConfigurationException rejection = expectThrows(
                    InvalidConfigurationException.class,
                    () -> MembershipCodec.read(
                            text.replace(invalid[0], invalid[1]).getBytes(StandardCharsets.UTF_8)));
            assertTrue(rejection.getMessage().contains(invalid[2]), rejection.getMessage());
        }
    }

    @Test
    public void namesKeyWhenSectionHasInvalidValue() {
        String valid = "{\"listen\":\"127.0.0.1:0\",\"seeds\":[\"127.0.0.1:7001\"],\"probe_ms\":500}";
        assertEquals(MembershipConfig.read(JsonFields.parse(valid)).protocol().ackTimeoutMs(), 200);
        for (String[] invalid : new String[][] {
            {"127.0.0.1:0", "nowhere", "membership.listen"},
            {"127.0.0.1:7001", "here", "membership.seeds"},
            {"500", "5", "membership.probe_ms"},
            {"500", "\"soon\"", "probe_ms"},
            {"\"listen\"", "\"at\"", "listen is missing"}
        }) {
            InvalidConfigurationException rejection = expectThrows(
                    InvalidConfigurationException.class,
                    () -> MembershipConfig.read(JsonFields.parse(valid.replace(invalid[0], invalid[1]))));
            assertTrue(rejection.getMessage().contains(invalid[2]), rejection.getMessage());
        }
    }
}
