package opalcove.control.xds;

import static opalcove.control.xds.ResourceType.CLUSTER;
import static opalcove.control.xds.ResourceType.ENDPOINTS;
import static opalcove.control.xds.ResourceType.ROUTES;
import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests the make-before-break order of the types on one stream. */
public class OrderTest {
    private static Proxy proxyWithAcceptedRoutes() {
        Proxy proxy =
                new Proxy().set(CLUSTER, 1, "old").set(ENDPOINTS, 1, "old").set(ROUTES, 1, "r");
        proxy.requestSotw(CLUSTER, "");
        proxy.requestSotw(ENDPOINTS, "", "old");
        proxy.requestSotw(ROUTES, "", "r");
        assertEquals(proxy.sotwResponses(), "CLUSTER n1: old\nENDPOINTS n1: old");
        proxy.requestSotw(CLUSTER, "n1");
        proxy.requestSotw(ENDPOINTS, "n1", "old");
        assertEquals(proxy.sotwResponses(), "ROUTES n1: r");
        proxy.requestSotw(ROUTES, "n1", "r");
        assertEquals(proxy.sotwResponses(), "");
        return proxy;
    }

    private static void replaceCluster(Proxy proxy) {
        proxy.set(CLUSTER, 1, "new")
                .set(ENDPOINTS, 1, "new")
                .set(ROUTES, 2, "r")
                .remove(CLUSTER, "old");
    }

    @Test
    public void sendsRoutesAfterTheirClustersAndRemovesOldClustersLast() {
        Proxy proxy = proxyWithAcceptedRoutes();
        replaceCluster(proxy);
        assertEquals(proxy.sotwResponses(), "CLUSTER n2: new old");
        proxy.requestSotw(CLUSTER, "n2");
        proxy.requestSotw(ENDPOINTS, "n1", "old", "new");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n2: new");
        proxy.requestSotw(ENDPOINTS, "n2", "old", "new");
        assertEquals(proxy.sotwResponses(), "ROUTES n2: r");
        assertEquals(proxy.sotwResponses(), "", "the old cluster is retained until the routes are accepted");
        proxy.requestSotw(ROUTES, "n2", "r");
        assertEquals(proxy.sotwResponses(), "CLUSTER n3: new");
        proxy.requestSotw(CLUSTER, "n3");
        assertEquals(proxy.sotwResponses(), "");
    }

    @Test
    public void sendsRoutesAfterOneSecondWithoutAcknowledgement() {
        Proxy proxy = proxyWithAcceptedRoutes();
        replaceCluster(proxy);
        assertEquals(proxy.sotwResponses(), "CLUSTER n2: new old");
        proxy.nowMs = 999;
        assertEquals(proxy.sotwResponses(), "");
        assertEquals(proxy.sotw.nextCheckAtMs(), 1000.0);
        proxy.nowMs = 1000;
        assertEquals(proxy.sotwResponses(), "ROUTES n2: r\nCLUSTER n3: new");
    }

    @Test
    public void sendsDrainWhileAnotherTypeIsUnacknowledged() {
        Proxy proxy = proxyWithAcceptedRoutes();
        replaceCluster(proxy);
        proxy.sotwResponses();
        proxy.set(ENDPOINTS, 2, "old");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n2: old");
    }

    @Test
    public void retainsClusterForSixtySecondsAfterRejectionOfRoutes() {
        Proxy proxy = proxyWithAcceptedRoutes();
        proxy.set(ROUTES, 2, "r").remove(CLUSTER, "old");
        assertEquals(proxy.sotwResponses(), "ROUTES n2: r");
        proxy.rejectSotw(ROUTES, "n2", "no", "r");
        proxy.nowMs = 59_999;
        assertEquals(proxy.sotwResponses(), "", "the proxy still uses the routes to the old cluster");
        proxy.nowMs = 60_000;
        assertEquals(proxy.sotwResponses(), "CLUSTER n2:");
    }
}
