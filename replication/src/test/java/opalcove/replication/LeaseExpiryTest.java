package opalcove.replication;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.List;
import opalcove.TestSettings;
import opalcove.config.ReplicatedConfig.EffectiveConfig;
import org.testng.annotations.Test;

/** Tests the end of a lease, which one thread renews and another thread observes. */
public class LeaseExpiryTest {
    private static final EffectiveConfig STRICT = new EffectiveConfig(3, TestSettings.settings(), List.of(), true, 0);

    /**
     * Guards against a gateway that stays strict, without any backend, although its lease was renewed: the gateway's
     * thread took the configuration for the expiry just before the renewal.
     */
    @Test
    public void requestsReactivationWhenLeaseIsRenewedAfterExpiryWasTaken() {
        LeaseExpiry expiry = new LeaseExpiry();
        expiry.setOnExpiry(STRICT);
        assertNull(expiry.takeIfExpired(5000), "no lease has been set");
        assertFalse(expiry.renew(2000));
        assertNull(expiry.takeIfExpired(1999));
        assertFalse(expiry.renew(2500), "the configuration for the expiry was not taken");
        assertSame(expiry.takeIfExpired(2500), STRICT);
        assertTrue(expiry.renew(4500), "the gateway is strict although the lease is renewed");
        assertFalse(expiry.renew(5000));
    }

    /** The same failure with the reverse order of events: the renewal precedes the take. */
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
