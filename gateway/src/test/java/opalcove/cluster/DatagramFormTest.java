package opalcove.cluster;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import opalcove.membership.GossipEntry;
import opalcove.membership.Member;
import opalcove.membership.SwimMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the exact bytes of the datagrams between members, because processes of an older version read and write the same
 * format.
 */
public class DatagramFormTest {
    private static final Member SENDER = new Member("g1", "127.0.0.1:7000", 17, Member.State.ALIVE);
    private static final String SENDER_JSON = "{\"n\":\"g1\",\"a\":\"127.0.0.1:7000\",\"i\":17,\"s\":\"ALIVE\"}";

    @DataProvider
    public Object[][] datagrams() {
        GossipEntry suspect = new GossipEntry(new Member("g3", "127.0.0.1:7003", 3, Member.State.SUSPECT), "g4");
        GossipEntry dead = new GossipEntry(new Member("g5", "127.0.0.1:7005", 5, Member.State.DEAD), "");
        GossipEntry departed =
                new GossipEntry(new Member("g6", "127.0.0.1:7006", 1_790_000_000_006L, Member.State.LEFT), "");
        GossipEntry self = new GossipEntry(SENDER, "");
        return new Object[][] {
            {
                new SwimMessage(SwimMessage.Kind.PING, SENDER, 1, "g2", "", List.of()),
                "{\"f\":" + SENDER_JSON + ",\"k\":\"PING\",\"s\":1,\"t\":\"g2\",\"w\":[]}"
            },
            {
                new SwimMessage(SwimMessage.Kind.ACK, SENDER, 2, "g1", "", List.of(suspect)),
                "{\"f\":" + SENDER_JSON + ",\"k\":\"ACK\",\"s\":2,\"t\":\"g1\",\"w\":["
                        + "{\"n\":\"g3\",\"a\":\"127.0.0.1:7003\",\"i\":3,\"s\":\"SUSPECT\",\"b\":\"g4\"}]}"
            },
            {
                new SwimMessage(SwimMessage.Kind.PING_REQ, SENDER, 3, "g3", "127.0.0.1:7003", List.of(dead)),
                "{\"f\":" + SENDER_JSON + ",\"k\":\"PING_REQ\",\"s\":3,\"t\":\"g3\",\"a\":\"127.0.0.1:7003\",\"w\":["
                        + "{\"n\":\"g5\",\"a\":\"127.0.0.1:7005\",\"i\":5,\"s\":\"DEAD\"}]}"
            },
            {
                new SwimMessage(SwimMessage.Kind.NACK, SENDER, 4, "g3", "", List.of()),
                "{\"f\":" + SENDER_JSON + ",\"k\":\"NACK\",\"s\":4,\"t\":\"g3\",\"w\":[]}"
            },
            {
                new SwimMessage(SwimMessage.Kind.SYNC, SENDER, 0, "", "", List.of(self, departed)),
                "{\"f\":" + SENDER_JSON + ",\"k\":\"SYNC\",\"s\":0,\"w\":[" + SENDER_JSON
                        + ",{\"n\":\"g6\",\"a\":\"127.0.0.1:7006\",\"i\":1790000000006,\"s\":\"LEFT\"}]}"
            },
            {
                new SwimMessage(SwimMessage.Kind.SYNC_ACK, SENDER, 5, "", "", List.of(self)),
                "{\"f\":" + SENDER_JSON + ",\"k\":\"SYNC_ACK\",\"s\":5,\"w\":[" + SENDER_JSON + "]}"
            },
            {
                new SwimMessage(SwimMessage.Kind.GOSSIP, SENDER, 0, "", "", List.of(suspect, dead)),
                "{\"f\":" + SENDER_JSON + ",\"k\":\"GOSSIP\",\"s\":0,\"w\":["
                        + "{\"n\":\"g3\",\"a\":\"127.0.0.1:7003\",\"i\":3,\"s\":\"SUSPECT\",\"b\":\"g4\"},"
                        + "{\"n\":\"g5\",\"a\":\"127.0.0.1:7005\",\"i\":5,\"s\":\"DEAD\"}]}"
            }
        };
    }

    @Test(dataProvider = "datagrams")
    public void writesAndReadsEachKindOfMessage(SwimMessage message, String datagram) {
        assertEquals(new String(MembershipCodec.write(message), StandardCharsets.UTF_8), datagram);
        assertEquals(MembershipCodec.read(datagram.getBytes(StandardCharsets.UTF_8)), message);
    }

    @Test
    public void datagramsCoverAllKindsAndStates() {
        assertEquals(datagrams().length, SwimMessage.Kind.values().length);
        assertEquals(Member.State.values().length, 4);
    }
}
