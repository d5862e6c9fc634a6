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
    public void subscribesToAllAfterFirstRequestWithoutNames() {
        Proxy proxy = new Proxy().set(CLUSTER, 1, "a", "b");
        proxy.requestSotw(CLUSTER, "");
        assertEquals(proxy.sotwResponses(), "CLUSTER n1: a b");
        proxy.requestSotw(CLUSTER, "n1");
        assertEquals(proxy.sotwResponses(), "");
        proxy.set(CLUSTER, 2, "b");
        assertEquals(
                proxy.sotwResponses(),
                "CLUSTER n2: a b",
                "each response holds all clusters, and the client removes those it lacks");
        proxy.requestSotw(CLUSTER, "n2");
        proxy.remove(CLUSTER, "a");
        assertEquals(proxy.sotwResponses(), "CLUSTER n3: b");
    }

    @Test
    public void respondsToFirstRequestWithoutAnyResources() {
        Proxy proxy = new Proxy();
        proxy.requestSotw(CLUSTER, "");
        assertEquals(proxy.sotwResponses(), "CLUSTER n1:");
        assertEquals(proxy.sotwResponses(), "");
    }

    @Test
    public void treatsEmptyNamesAsNoneAfterNamedRequest() {
        Proxy proxy = new Proxy().set(LISTENER, 1, "a", "b");
        proxy.requestSotw(LISTENER, "", "a");
        assertEquals(proxy.sotwResponses(), "LISTENER n1: a");
        proxy.requestSotw(LISTENER, "n1");
        proxy.set(LISTENER, 2, "a", "b");
        assertEquals(proxy.sotwResponses(), "", "an empty list after the last name is no wildcard");
        proxy.requestSotw(LISTENER, "n1", "*");
        assertEquals(proxy.sotwResponses(), "LISTENER n2: a b");
        proxy.requestSotw(LISTENER, "n2");
        proxy.set(LISTENER, 3, "a");
        assertEquals(proxy.sotwResponses(), "", "an empty list unsubscribes from the named wildcard");
    }

    @Test
    public void sendsOnlyChangedEndpoints() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a", "b", "c");
        proxy.requestSotw(ENDPOINTS, "", "a", "b");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n1: a b");
        proxy.requestSotw(ENDPOINTS, "n1", "a", "b");
        proxy.set(ENDPOINTS, 2, "b", "c");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n2: b");
        proxy.requestSotw(ENDPOINTS, "n2", "a", "b", "c");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n3: c", "only the added name is sent");
    }

    @Test
    public void sendsResourceOnceItExists() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a");
        proxy.requestSotw(ENDPOINTS, "", "later");
        assertEquals(proxy.sotwResponses(), "");
        proxy.set(ENDPOINTS, 1, "later");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n1: later");
    }

    @Test
    public void resendsResourceSubscribedToAgain() {
        Proxy proxy = new Proxy().set(ROUTES, 1, "a", "b");
        proxy.requestSotw(ROUTES, "", "a", "b");
        assertEquals(proxy.sotwResponses(), "ROUTES n1: a b");
        proxy.requestSotw(ROUTES, "n1", "b");
        assertEquals(proxy.sotwResponses(), "");
        proxy.requestSotw(ROUTES, "n1", "a", "b");
        assertEquals(proxy.sotwResponses(), "ROUTES n2: a", "the client may have discarded it after unsubscribing");
    }

    @Test
    public void ignoresSubscriptionsOfRequestWithStaleNonce() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a", "b");
        proxy.requestSotw(ENDPOINTS, "", "a");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n1: a");
        proxy.set(ENDPOINTS, 2, "a");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n2: a");
        proxy.requestSotw(ENDPOINTS, "n1", "a", "b");
        assertEquals(proxy.sotwResponses(), "", "the request was sent before n2 was read; another follows");
        assertEquals(proxy.sotw.clientVersions(ENDPOINTS, 0).acceptedCount(), 1, "the request still acknowledges n1");
        proxy.requestSotw(ENDPOINTS, "n2", "a", "b");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n3: b");
    }

    @Test
    public void ignoresNonceOfAnotherStream() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a");
        proxy.requestSotw(ENDPOINTS, "m17", "a");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n1: a");
    }

    @Test
    public void reportsRejectionReasonWithoutResendingRejectedResponse() {
        Proxy proxy = new Proxy().set(CLUSTER, 1, "a", "b");
        proxy.requestSotw(CLUSTER, "");
        proxy.sotwResponses();
        proxy.rejectSotw(CLUSTER, "n1", "b has no type");
        assertEquals(proxy.sotwResponses(), "");
        assertEquals(proxy.sotw.clientVersions(CLUSTER, 0).rejectionReason(), "b has no type");
        assertEquals(proxy.sotw.clientVersions(CLUSTER, 0).rejectedCount(), 1);
        proxy.set(CLUSTER, 2, "b");
        assertEquals(proxy.sotwResponses(), "CLUSTER n2: a b");
        proxy.requestSotw(CLUSTER, "n2");
        assertEquals(proxy.sotw.clientVersions(CLUSTER, 0).rejectionReason(), "");
    }

    @Test
    public void isolatesRejectedResourceAndDeliversOthers() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a", "b", "c", "d");
        proxy.requestSotw(ENDPOINTS, "", "a", "b", "c", "d");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n1: a b c d");
        proxy.rejectSotw(ENDPOINTS, "n1", "c is bad", "a", "b", "c", "d");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n2: a b");
        proxy.requestSotw(ENDPOINTS, "n2", "a", "b", "c", "d");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n3: c d");
        proxy.rejectSotw(ENDPOINTS, "n3", "c is bad", "a", "b", "c", "d");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n4: c");
        proxy.rejectSotw(ENDPOINTS, "n4", "c is bad", "a", "b", "c", "d");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n5: d");
        proxy.requestSotw(ENDPOINTS, "n5", "a", "b", "c", "d");
        assertEquals(proxy.sotwResponses(), "");
        assertEquals(proxy.sotw.clientVersions(ENDPOINTS, 0).withheldCount(), 1);
        proxy.set(ENDPOINTS, 2, "d");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n6: d", "the rejected version of c is not sent again");
        proxy.set(ENDPOINTS, 2, "c");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n7: c");
        proxy.requestSotw(ENDPOINTS, "n6", "a", "b", "c", "d");
        proxy.requestSotw(ENDPOINTS, "n7", "a", "b", "c", "d");
        assertEquals(proxy.sotw.clientVersions(ENDPOINTS, 0).withheldCount(), 0);
    }

    @Test
    public void derivesVersionFromSubscribedResources() {
        Proxy one = new Proxy().set(CLUSTER, 1, "a", "b", "c").remove(CLUSTER, "c");
        Proxy other = new Proxy().set(CLUSTER, 1, "b").set(CLUSTER, 1, "a");
        one.requestSotw(CLUSTER, "");
        other.requestSotw(CLUSTER, "");
        one.sotwResponses();
        other.sotwResponses();
        String version = one.responses.get(0).getVersionInfo();
        assertEquals(version, other.responses.get(0).getVersionInfo(), "two instances compute the same version");
        other.set(CLUSTER, 2, "a").sotwResponses();
        assertNotEquals(other.responses.get(1).getVersionInfo(), version);
        other.set(CLUSTER, 1, "a").sotwResponses();
        assertEquals(other.responses.get(2).getVersionInfo(), version);
    }

    @Test
    public void sendsDifferencesAfterMoveToAnotherLineage() {
        Proxy proxy =
                new Proxy().set(ENDPOINTS, 1, "a", "b").set(ENDPOINTS, 2, "a").set(ENDPOINTS, 3, "a");
        proxy.requestSotw(ENDPOINTS, "", "a", "b");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n1: a b");
        proxy.snapshot = ConfigSnapshot.EMPTY;
        proxy.set(ENDPOINTS, 1, "a", "b");
        assertEquals(
                proxy.sotwResponses(),
                "ENDPOINTS n2: a",
                "only a differs, though the revision is lower than the one sent");
        proxy.requestSotw(ENDPOINTS, "n2", "a", "b");
        assertEquals(proxy.sotw.clientVersions(ENDPOINTS, 0).acknowledgedRevision(), 1L);
    }

    @Test
    public void acknowledgesEarlierResponsesWithLatestNonce() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a");
        proxy.requestSotw(ENDPOINTS, "", "a");
        proxy.sotwResponses();
        proxy.set(ENDPOINTS, 2, "a").sotwResponses();
        proxy.requestSotw(ENDPOINTS, "n2", "a");
        assertEquals(proxy.sotw.clientVersions(ENDPOINTS, 0).acknowledgedRevision(), 2L);
        assertEquals(proxy.sotw.clientVersions(ENDPOINTS, 9).oldestPendingMs(), 0.0);
    }

    @Test
    public void combinesChangesIntoOneResponseWithoutWaitingForAcknowledgement() {
        Proxy proxy = new Proxy().set(ENDPOINTS, 1, "a");
        proxy.requestSotw(ENDPOINTS, "", "a");
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n1: a");
        for (int i = 2; i < 500; i++) {
            proxy.set(ENDPOINTS, i, "a");
        }
        proxy.nowMs = 3000;
        assertEquals(proxy.sotwResponses(), "ENDPOINTS n2: a");
        assertEquals(proxy.sotw.clientVersions(ENDPOINTS, 3000).oldestPendingMs(), 3000.0);
        proxy.requestSotw(ENDPOINTS, "n1", "a");
        assertEquals(
                proxy.sotw.clientVersions(ENDPOINTS, 3000).acknowledgedRevision(),
                1L,
                "the changes in n2 are not acknowledged");
        proxy.requestSotw(ENDPOINTS, "n2", "a");
        assertEquals(proxy.sotw.clientVersions(ENDPOINTS, 3000).acknowledgedRevision(), 499L);
    }
}
