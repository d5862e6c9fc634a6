package opalcove.control.xds;

import static opalcove.control.xds.ResourceType.CLUSTER;
import static opalcove.control.xds.ResourceType.ENDPOINTS;
import static opalcove.control.xds.ResourceType.LISTENER;
import static opalcove.control.xds.ResourceType.ROUTES;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import org.testng.annotations.Test;

public class SotwTest {
    @Test
    public void aFirstRequestWithoutNamesAsksForAll() {
        Proxy proxy = new Proxy().set(CLUSTER, 1, "a", "b");
        proxy.ask(CLUSTER, "");
        assertEquals(proxy.told(), "CLUSTER n1: a b");
        proxy.ask(CLUSTER, "n1");
        assertEquals(proxy.told(), "");
        proxy.set(CLUSTER, 2, "b");
        assertEquals(proxy.told(), "CLUSTER n2: a b", "clusters are told whole, so that what is lacking is gone");
        proxy.ask(CLUSTER, "n2");
        proxy.remove(CLUSTER, "a");
        assertEquals(proxy.told(), "CLUSTER n3: b");
    }

    @Test
    public void theFirstRequestIsAnsweredEvenWhereThereIsNothing() {
        Proxy proxy = new Proxy();
        proxy.ask(CLUSTER, "");
        assertEquals(proxy.told(), "CLUSTER n1:");
        assertEquals(proxy.told(), "");
    }

    @Test
    public void afterNamesNoNamesMeanNone() {
        Proxy proxy = new Proxy().set(LISTENER, 1, "a", "b");
        proxy.ask(LISTENER, "", "a");
        assertEquals(proxy.told(), "LISTENER n1: a");
        proxy.ask(LISTENER, "n1");
        proxy.set(LISTENER, 2, "a", "b");
        assertEquals(proxy.told(), "", "it unsubscribed from its last name, and that is no wildcard");
        proxy.ask(LISTENER, "n1", "*");
        assertEquals(proxy.told(), "LISTENER n2: a b");
        proxy.ask(LISTENER, "n2");
        proxy.set(LISTENER, 3, "a");
        assertEquals(proxy.told(), "", "the wildcard that was named was unsubscribed from by an empty list");
    }

    @Test
    public void endpointsAreToldByWhatChanged() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a", "b", "c");
        proxy.ask(ENDPOINTS, "", "a", "b");
        assertEquals(proxy.told(), "ENDPOINTS n1: a b");
        proxy.ask(ENDPOINTS, "n1", "a", "b");
        proxy.set(ENDPOINTS, 2, "b", "c");
        assertEquals(proxy.told(), "ENDPOINTS n2: b");
        proxy.ask(ENDPOINTS, "n2", "a", "b", "c");
        assertEquals(proxy.told(), "ENDPOINTS n3: c", "a name that is added is told, and what is known is not");
    }

    @Test
    public void aNameThatIsNotThereYetIsToldWhenItComes() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a");
        proxy.ask(ENDPOINTS, "", "later");
        assertEquals(proxy.told(), "");
        proxy.set(ENDPOINTS, 1, "later");
        assertEquals(proxy.told(), "ENDPOINTS n1: later");
    }

    @Test
    public void whatIsSubscribedToAnewIsToldAgain() {
        Proxy proxy = new Proxy().set(ROUTES, 1, "a", "b");
        proxy.ask(ROUTES, "", "a", "b");
        assertEquals(proxy.told(), "ROUTES n1: a b");
        proxy.ask(ROUTES, "n1", "b");
        assertEquals(proxy.told(), "");
        proxy.ask(ROUTES, "n1", "a", "b");
        assertEquals(proxy.told(), "ROUTES n2: a", "it may have forgotten it in between");
    }

    @Test
    public void aRequestWithAStaleNonceIsNoRequest() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a", "b");
        proxy.ask(ENDPOINTS, "", "a");
        assertEquals(proxy.told(), "ENDPOINTS n1: a");
        proxy.set(ENDPOINTS, 2, "a");
        assertEquals(proxy.told(), "ENDPOINTS n2: a");
        proxy.ask(ENDPOINTS, "n1", "a", "b");
        assertEquals(proxy.told(), "", "it was written before n2 was read; another follows");
        assertEquals(proxy.sotw.knowledge(ENDPOINTS, 0).taken(), 1, "as an answer it counts");
        proxy.ask(ENDPOINTS, "n2", "a", "b");
        assertEquals(proxy.told(), "ENDPOINTS n3: b");
    }

    @Test
    public void anotherStreamsNonceAndVersionAreNothingToHoldOnTo() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a");
        proxy.ask(ENDPOINTS, "m17", "a");
        assertEquals(proxy.told(), "ENDPOINTS n1: a");
    }

    @Test
    public void aRefusalIsToldWithItsReasonAndDoesNotLoop() {
        Proxy proxy = new Proxy().set(CLUSTER, 1, "a", "b");
        proxy.ask(CLUSTER, "");
        proxy.told();
        proxy.refuse(CLUSTER, "n1", "b has no type");
        assertEquals(proxy.told(), "");
        assertEquals(proxy.sotw.knowledge(CLUSTER, 0).reason(), "b has no type");
        assertEquals(proxy.sotw.knowledge(CLUSTER, 0).refused(), 1);
        proxy.set(CLUSTER, 2, "b");
        assertEquals(proxy.told(), "CLUSTER n2: a b");
        proxy.ask(CLUSTER, "n2");
        assertEquals(proxy.sotw.knowledge(CLUSTER, 0).reason(), "");
    }

    @Test
    public void ofSeveralTheOneAtFaultIsFoundAndTheOthersArrive() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a", "b", "c", "d");
        proxy.ask(ENDPOINTS, "", "a", "b", "c", "d");
        assertEquals(proxy.told(), "ENDPOINTS n1: a b c d");
        proxy.refuse(ENDPOINTS, "n1", "c is bad", "a", "b", "c", "d");
        assertEquals(proxy.told(), "ENDPOINTS n2: a b");
        proxy.ask(ENDPOINTS, "n2", "a", "b", "c", "d");
        assertEquals(proxy.told(), "ENDPOINTS n3: c d");
        proxy.refuse(ENDPOINTS, "n3", "c is bad", "a", "b", "c", "d");
        assertEquals(proxy.told(), "ENDPOINTS n4: c");
        proxy.refuse(ENDPOINTS, "n4", "c is bad", "a", "b", "c", "d");
        assertEquals(proxy.told(), "ENDPOINTS n5: d");
        proxy.ask(ENDPOINTS, "n5", "a", "b", "c", "d");
        assertEquals(proxy.told(), "");
        assertEquals(proxy.sotw.knowledge(ENDPOINTS, 0).refusedNames(), 1);
        proxy.set(ENDPOINTS, 2, "d");
        assertEquals(proxy.told(), "ENDPOINTS n6: d", "the bad one is not told again as it is");
        proxy.set(ENDPOINTS, 2, "c");
        assertEquals(proxy.told(), "ENDPOINTS n7: c");
        proxy.ask(ENDPOINTS, "n6", "a", "b", "c", "d");
        proxy.ask(ENDPOINTS, "n7", "a", "b", "c", "d");
        assertEquals(proxy.sotw.knowledge(ENDPOINTS, 0).refusedNames(), 0);
    }

    @Test
    public void versionsComeFromWhatIsSubscribedTo() {
        Proxy one = new Proxy().set(CLUSTER, 1, "a", "b", "c").remove(CLUSTER, "c");
        Proxy other = new Proxy().set(CLUSTER, 1, "b").set(CLUSTER, 1, "a");
        one.ask(CLUSTER, "");
        other.ask(CLUSTER, "");
        one.told();
        other.told();
        String version = one.responses.get(0).getVersionInfo();
        assertEquals(version, other.responses.get(0).getVersionInfo(), "two instances agree");
        other.set(CLUSTER, 2, "a").told();
        assertNotEquals(other.responses.get(1).getVersionInfo(), version);
        other.set(CLUSTER, 1, "a").told();
        assertEquals(other.responses.get(2).getVersionInfo(), version);
    }

    @Test
    public void aProxyThatIsShownAnotherLineOfViewsIsToldWhatDiffers() {
        Proxy proxy =
                new Proxy().set(ENDPOINTS, 1, "a", "b").set(ENDPOINTS, 2, "a").set(ENDPOINTS, 3, "a");
        proxy.ask(ENDPOINTS, "", "a", "b");
        assertEquals(proxy.told(), "ENDPOINTS n1: a b");
        proxy.view = ConfigSnapshot.EMPTY;
        proxy.set(ENDPOINTS, 1, "a", "b");
        assertEquals(proxy.told(), "ENDPOINTS n2: a", "its serial is lower than what was told");
        proxy.ask(ENDPOINTS, "n2", "a", "b");
        assertEquals(proxy.sotw.knowledge(ENDPOINTS, 0).acknowledged(), 1L);
    }

    @Test
    public void anAnswerStandsForEarlierOnes() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a");
        proxy.ask(ENDPOINTS, "", "a");
        proxy.told();
        proxy.set(ENDPOINTS, 2, "a").told();
        proxy.ask(ENDPOINTS, "n2", "a");
        assertEquals(proxy.sotw.knowledge(ENDPOINTS, 0).acknowledged(), 2L);
        assertEquals(proxy.sotw.knowledge(ENDPOINTS, 9).waitingMs(), 0.0);
    }

    @Test
    public void newsDoNotWaitForAnAnswerAndManyChangesAreOne() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a");
        proxy.ask(ENDPOINTS, "", "a");
        assertEquals(proxy.told(), "ENDPOINTS n1: a");
        for (int i = 2; i < 500; i++) {
            proxy.set(ENDPOINTS, i, "a");
        }
        proxy.now = 3000;
        assertEquals(proxy.told(), "ENDPOINTS n2: a");
        assertEquals(proxy.sotw.knowledge(ENDPOINTS, 3000).waitingMs(), 3000.0);
        proxy.ask(ENDPOINTS, "n1", "a");
        assertEquals(proxy.sotw.knowledge(ENDPOINTS, 3000).acknowledged(), 1L, "what n2 told is not answered for");
        proxy.ask(ENDPOINTS, "n2", "a");
        assertEquals(proxy.sotw.knowledge(ENDPOINTS, 3000).acknowledged(), 499L);
    }
}
