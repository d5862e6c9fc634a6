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
    public void aFirstRequestWithoutNamesAsksForAllAndOnlyChangesFollow() {
        Proxy proxy = new Proxy().set(CLUSTER, 1, "a", "b");
        proxy.subscribe(CLUSTER);
        assertEquals(proxy.changed(), "CLUSTER n1: a b");
        proxy.take(CLUSTER, "n1");
        proxy.set(CLUSTER, 2, "b").set(CLUSTER, 1, "c").remove(CLUSTER, "a");
        assertEquals(proxy.changed(), "CLUSTER n2: b c -a");
        proxy.take(CLUSTER, "n2");
        assertEquals(proxy.changed(), "");
    }

    @Test
    public void aNameThatIsNotThereIsToldAsRemoved() {
        Proxy proxy = new Proxy();
        proxy.subscribe(ENDPOINTS, "later");
        assertEquals(proxy.changed(), "ENDPOINTS n1: -later");
        proxy.set(ENDPOINTS, 1, "later", "other");
        assertEquals(proxy.changed(), "ENDPOINTS n2: later");
    }

    @Test
    public void whatIsSubscribedToAgainIsToldAgain() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a", "b");
        proxy.subscribe(ENDPOINTS, "a", "b");
        assertEquals(proxy.changed(), "ENDPOINTS n1: a b");
        proxy.subscribe(ENDPOINTS, "a");
        assertEquals(proxy.changed(), "ENDPOINTS n2: a");
        proxy.unsubscribe(ENDPOINTS, "a");
        proxy.set(ENDPOINTS, 2, "a");
        assertEquals(proxy.changed(), "");
    }

    @Test
    public void aNameLeftWhileTheWildcardStandsIsToldOfOnceMore() {
        Proxy proxy = new Proxy().set(CLUSTER, 1, "a");
        proxy.subscribe(CLUSTER, "*", "a", "none");
        assertEquals(proxy.changed(), "CLUSTER n1: a -none");
        proxy.unsubscribe(CLUSTER, "a", "none");
        assertEquals(proxy.changed(), "CLUSTER n2: a -none", "the wildcard holds the one, and not the other");
        proxy.unsubscribe(CLUSTER, "*");
        proxy.set(CLUSTER, 2, "a");
        assertEquals(proxy.changed(), "");
    }

    @Test
    public void aProxyThatComesBackIsToldWhatChangedMeanwhile() {
        Proxy proxy = new Proxy().set(CLUSTER, 1, "same", "other", "fresh");
        proxy.delta.request(
                CLUSTER,
                proxy.change(CLUSTER, "m4")
                        .putAllInitialResourceVersions(Map.of(
                                "same",
                                proxy.view.get(CLUSTER, "same").version(),
                                "other",
                                "0123456789abcdef",
                                "gone",
                                "1"))
                        .build());
        assertEquals(proxy.changed(), "CLUSTER n1: fresh other -gone");
    }

    @Test
    public void namedOnesThatAreKnownAreNotToldAgainOnReturn() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a", "b");
        proxy.delta.request(
                ENDPOINTS,
                proxy.change(ENDPOINTS, "")
                        .addAllResourceNamesSubscribe(List.of("a", "b"))
                        .putInitialResourceVersions(
                                "a", proxy.view.get(ENDPOINTS, "a").version())
                        .build());
        assertEquals(proxy.changed(), "ENDPOINTS n1: b");
    }

    @Test
    public void ofSeveralTheOneAtFaultIsFound() {
        Proxy proxy = new Proxy().set(CLUSTER, 1, "a", "b", "c");
        proxy.subscribe(CLUSTER);
        proxy.changed();
        proxy.reject(CLUSTER, "n1", "b is bad");
        StringBuilder told = new StringBuilder();
        String next = proxy.changed();
        for (int i = 0; i < 10 && !next.isEmpty(); i++) {
            told.append(next).append('\n');
            String nonce = "n" + (i + 2);
            if (next.contains(" b")) {
                proxy.reject(CLUSTER, nonce, "b is bad");
            } else {
                proxy.take(CLUSTER, nonce);
            }
            next = proxy.changed();
        }
        assertEquals(told.toString().lines().filter(line -> line.endsWith(" b")).count(), 1, told.toString());
        assertEquals(proxy.delta.knowledge(CLUSTER, 0).refusedNames(), 1);
        assertEquals(proxy.delta.knowledge(CLUSTER, 0).acknowledged(), proxy.view.serial());
        assertFalse(told.toString().contains("n8"), "few enough responses: " + told);
    }

    @Test
    public void aLifetimeIsRenewedWithoutTheResource() throws Exception {
        Proxy proxy = new Proxy();
        proxy.view = ConfigSnapshot.EMPTY.with(List.of(ResourceFactory.endpoints("leased", 3000, List.of())), Map.of());
        proxy.set(ENDPOINTS, 1, "kept");
        proxy.subscribe(ENDPOINTS, "leased", "kept");
        assertEquals(proxy.changed(), "ENDPOINTS n1: kept leased");
        DeltaDiscoveryResponse renewal = proxy.delta.renewals(proxy.view, 0).get(0);
        assertEquals(renewal.getNonce(), "n2");
        assertEquals(renewal.getResourcesCount(), 1);
        assertEquals(renewal.getResources(0).getName(), "leased");
        assertEquals(
                renewal.getResources(0).getVersion(),
                proxy.view.get(ENDPOINTS, "leased").version());
        assertEquals(renewal.getResources(0).getTtl().getSeconds(), 3);
        assertFalse(renewal.getResources(0).hasResource());
        proxy.take(ENDPOINTS, "n1");
        proxy.take(ENDPOINTS, "n2");
        assertEquals(proxy.delta.knowledge(ENDPOINTS, 9).waitingMs(), 0.0);
    }

    @Test
    public void aProxyThatNeverAnswersCostsABoundedAmount() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 0, "a");
        proxy.subscribe(ENDPOINTS, "a");
        for (int i = 1; i <= 1000; i++) {
            proxy.now = i;
            proxy.set(ENDPOINTS, i, "a");
            assertEquals(proxy.changed(), "ENDPOINTS n" + i + ": a");
        }
        assertEquals(proxy.delta.knowledge(ENDPOINTS, 1000).waitingMs(), 63.0, "64 answers are waited for");
        proxy.take(ENDPOINTS, "n1000");
        assertEquals(proxy.delta.knowledge(ENDPOINTS, 1000).taken(), 1);
    }
}
