package opalcove.replication;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.List;
import opalcove.TestSettings;
import opalcove.config.ReplicatedConfig.EffectiveConfig;
import org.testng.annotations.Test;

/** The end of a lease between the thread that renews it and the one that acts on it. */
public class LeaseExpiryTest {
    private static final EffectiveConfig STRICT = new EffectiveConfig(3, TestSettings.settings(), List.of(), true, 0);

    /** Guards against a gateway that stays strict, without any backend, under a lease that was renewed at its very end. */
    @Test
    public void requestsReactivationWhenLeaseIsRenewedAfterExpiryWasTaken() {
        LeaseExpiry expiry = new LeaseExpiry();
        expiry.setOnExpiry(STRICT);
        assertNull(expiry.takeIfExpired(5000), "there is no lease yet");
        assertFalse(expiry.renew(2000));
        assertNull(expiry.takeIfExpired(1999));
        assertFalse(expiry.renew(2500), "nothing was taken");
        assertSame(expiry.takeIfExpired(2500), STRICT);
        assertTrue(expiry.renew(4500), "the gateway is strict, the lease is not");
        assertFalse(expiry.renew(5000));
    }

    /** The same with the events in the other order: the renewal is seen before what was taken. */
    @Test
    public void requestsReactivationAtNextRenewalWhenExpiryIsTakenAfterRenewal() {
        LeaseExpiry expiry = new LeaseExpiry();
        expiry.setOnExpiry(STRICT);
        expiry.renew(2000);
        expiry.renew(2000);
        assertSame(expiry.takeIfExpired(2000), STRICT);
        assertTrue(expiry.renew(4000));
        assertNull(expiry.takeIfExpired(3999));
    }
}
