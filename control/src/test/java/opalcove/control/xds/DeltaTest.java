package opalcove.control.xds;

import static opalcove.control.xds.ResourceType.CLUSTER;
import static opalcove.control.xds.ResourceType.ENDPOINTS;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

public class DeltaTest {
    @Test
    public void subscribesToAllAndSendsOnlyChangesAfterRequestWithoutNames() {
        Proxy proxy = new Proxy().set(CLUSTER, 1, "a", "b");
        proxy.subscribe(CLUSTER);
        assertEquals(proxy.deltaResponses(), "CLUSTER n1: a b");
        proxy.acceptDelta(CLUSTER, "n1");
        proxy.set(CLUSTER, 2, "b").set(CLUSTER, 1, "c").remove(CLUSTER, "a");
        assertEquals(proxy.deltaResponses(), "CLUSTER n2: b c -a");
        proxy.acceptDelta(CLUSTER, "n2");
        assertEquals(proxy.deltaResponses(), "");
    }

    @Test
    public void sendsRemovalForNameThatDoesNotExist() {
        Proxy proxy = new Proxy();
        proxy.subscribe(ENDPOINTS, "later");
        assertEquals(proxy.deltaResponses(), "ENDPOINTS n1: -later");
        proxy.set(ENDPOINTS, 1, "later", "other");
        assertEquals(proxy.deltaResponses(), "ENDPOINTS n2: later");
    }

    @Test
    public void resendsResourceSubscribedToAgain() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a", "b");
        proxy.subscribe(ENDPOINTS, "a", "b");
        assertEquals(proxy.deltaResponses(), "ENDPOINTS n1: a b");
        proxy.subscribe(ENDPOINTS, "a");
        assertEquals(proxy.deltaResponses(), "ENDPOINTS n2: a");
        proxy.unsubscribe(ENDPOINTS, "a");
        proxy.set(ENDPOINTS, 2, "a");
        assertEquals(proxy.deltaResponses(), "");
    }

    @Test
    public void resendsNameUnsubscribedUnderWildcard() {
        Proxy proxy = new Proxy().set(CLUSTER, 1, "a");
        proxy.subscribe(CLUSTER, "*", "a", "none");
        assertEquals(proxy.deltaResponses(), "CLUSTER n1: a -none");
        proxy.unsubscribe(CLUSTER, "a", "none");
        assertEquals(
                proxy.deltaResponses(),
                "CLUSTER n2: a -none",
                "the wildcard covers a; the resource none does not exist");
        proxy.unsubscribe(CLUSTER, "*");
        proxy.set(CLUSTER, 2, "a");
        assertEquals(proxy.deltaResponses(), "");
    }

    @Test
    public void sendsChangesSinceEarlierStreamAfterReconnect() {
        Proxy proxy = new Proxy().set(CLUSTER, 1, "same", "other", "fresh");
        proxy.delta.onRequest(
                CLUSTER,
                proxy.deltaRequest(CLUSTER, "m4")
                        .putAllInitialResourceVersions(Map.of(
                                "same",
                                proxy.snapshot.resource(CLUSTER, "same").version(),
                                "other",
                                "0123456789abcdef",
                                "gone",
                                "1"))
                        .build());
        assertEquals(proxy.deltaResponses(), "CLUSTER n1: fresh other -gone");
    }

    @Test
    public void omitsNamedResourcesThatProxyHasAfterReconnect() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a", "b");
        proxy.delta.onRequest(
                ENDPOINTS,
                proxy.deltaRequest(ENDPOINTS, "")
                        .addAllResourceNamesSubscribe(List.of("a", "b"))
                        .putInitialResourceVersions(
                                "a", proxy.snapshot.resource(ENDPOINTS, "a").version())
                        .build());
        assertEquals(proxy.deltaResponses(), "ENDPOINTS n1: b");
    }

    @Test
    public void isolatesRejectedResourceAmongSeveral() {
        Proxy proxy = new Proxy().set(CLUSTER, 1, "a", "b", "c");
        proxy.subscribe(CLUSTER);
        proxy.deltaResponses();
        proxy.rejectDelta(CLUSTER, "n1", "b is bad");
        StringBuilder responses = new StringBuilder();
        String next = proxy.deltaResponses();
        for (int i = 0; i < 10 && !next.isEmpty(); i++) {
            responses.append(next).append('\n');
            String nonce = "n" + (i + 2);
            if (next.contains(" b")) {
                proxy.rejectDelta(CLUSTER, nonce, "b is bad");
            } else {
                proxy.acceptDelta(CLUSTER, nonce);
            }
            next = proxy.deltaResponses();
        }
        assertEquals(
                responses.toString().lines().filter(line -> line.endsWith(" b")).count(), 1, responses.toString());
        assertEquals(proxy.delta.clientVersions(CLUSTER, 0).withheldCount(), 1);
        assertEquals(proxy.delta.clientVersions(CLUSTER, 0).acknowledgedRevision(), proxy.snapshot.revision());
        assertFalse(responses.toString().contains("n8"), "no response after n7 is expected: " + responses);
    }

    @Test
    public void renewsLifetimeWithoutSendingResourceBody() throws Exception {
        Proxy proxy = new Proxy();
        proxy.snapshot =
                ConfigSnapshot.EMPTY.with(List.of(ResourceFactory.endpoints("leased", 3000, List.of())), Map.of());
        proxy.set(ENDPOINTS, 1, "kept");
        proxy.subscribe(ENDPOINTS, "leased", "kept");
        assertEquals(proxy.deltaResponses(), "ENDPOINTS n1: kept leased");
        DeltaDiscoveryResponse renewal =
                proxy.delta.nextRenewals(proxy.snapshot, 0).get(0);
        assertEquals(renewal.getNonce(), "n2");
        assertEquals(renewal.getResourcesCount(), 1);
        assertEquals(renewal.getResources(0).getName(), "leased");
        assertEquals(
                renewal.getResources(0).getVersion(),
                proxy.snapshot.resource(ENDPOINTS, "leased").version());
        assertEquals(renewal.getResources(0).getTtl().getSeconds(), 3);
        assertFalse(renewal.getResources(0).hasResource());
        proxy.acceptDelta(ENDPOINTS, "n1");
        proxy.acceptDelta(ENDPOINTS, "n2");
        assertEquals(proxy.delta.clientVersions(ENDPOINTS, 9).oldestPendingMs(), 0.0);
    }

    @Test
    public void boundsPendingResponsesOfProxyThatNeverAcknowledges() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 0, "a");
        proxy.subscribe(ENDPOINTS, "a");
        for (int i = 1; i <= 1000; i++) {
            proxy.nowMs = i;
            proxy.set(ENDPOINTS, i, "a");
            assertEquals(proxy.deltaResponses(), "ENDPOINTS n" + i + ": a");
        }
        assertEquals(
                proxy.delta.clientVersions(ENDPOINTS, 1000).oldestPendingMs(),
                63.0,
                "64 pending responses are retained");
        proxy.acceptDelta(ENDPOINTS, "n1000");
        assertEquals(proxy.delta.clientVersions(ENDPOINTS, 1000).acceptedCount(), 1);
    }
}
