package opalcove.resp;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import opalcove.decision.EndpointState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that what a backend sends beyond its reply is never taken for the reply to the next request, which may be of
 * another tenant.
 */
public class StrayReplyTest {
    private static final int TIMEOUT_MS = 4_000;
    /** Longer than a connection is observed after a reply before it is reused, ms. */
    private static final int SETTLED_MS = 120;

    /** What follows the reply, how much of it comes first, and how long after the reply, ms. */
    @DataProvider
    public Object[][] strayInput() {
        String copy = reply("first");
        String longValue = reply("v".repeat(70_000));
        String noise = "-ERR noise\r\n";
        List<Object[]> cases = new ArrayList<>();
        for (int cut = 1; cut < copy.length(); cut++) {
            cases.add(new Object[] {copy, cut, 0});
        }
        for (int cut : new int[] {1, 10, 20, longValue.length() / 2, longValue.length() - 1}) {
            cases.add(new Object[] {longValue, cut, 0});
        }
        for (int cut : new int[] {1, noise.length() / 2, noise.length() - 1}) {
            cases.add(new Object[] {noise, cut, 0});
        }
        cases.add(new Object[] {copy, copy.length() / 2, SETTLED_MS});
        cases.add(new Object[] {longValue, longValue.length() / 2, SETTLED_MS});
        return cases.toArray(Object[][]::new);
    }

    /** Guards the next request against the rest of a second reply, whose first part is in the decoder already. */
    @Test(dataProvider = "strayInput")
    public void servesNextRequestItsOwnValueWhenSecondReplyArrivesInTwoParts(String stray, int cut, int afterMs)
            throws Exception {
        try (RespTestBed testBed = new RespTestBed()) {
            RespTestBed.FakeBackend backend = testBed.startBackend("n1");
            testBed.setEndpoints(backend.withState(EndpointState.UP));
            Socket client = testBed.connectClient();
            RespTestBed.send(client, RespTestBed.query(1, TIMEOUT_MS));
            RespTestBed.BackendPeer first = backend.accept();
            first.readCommand();
            if (afterMs == 0) {
                first.send(reply("first") + stray.substring(0, cut));
                assertEquals(RespTestBed.readReply(client), "first");
            } else {
                first.send(reply("first"));
                assertEquals(RespTestBed.readReply(client), "first");
                TimeUnit.MILLISECONDS.sleep(afterMs);
                first.send(stray.substring(0, cut));
            }
            TimeUnit.MILLISECONDS.sleep(SETTLED_MS);
            assertEquals(
                    testBed.counter("links_resting"), 0, "a connection with a part of a stray reply may be reused");
            assertTrue(first.isClosedByGateway());
            RespTestBed.send(client, RespTestBed.query(2, TIMEOUT_MS));
            RespTestBed.BackendPeer second = backend.accept();
            assertTrue(second.readCommand().contains(RespTestBed.requestId(2)));
            second.sendValue("second");
            assertEquals(RespTestBed.readReply(client), "second");
        }
    }

    private static String reply(String value) {
        return "*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n";
    }
}
