package opalcove.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import opalcove.resp.RespServer;
import org.testng.annotations.Test;

/** Tests the arithmetic of dividing descriptors for every limit from 160 to 4096. */
public class DescriptorBudgetTest {
    private static final int MAX_LIMIT = 4096;

    @Test
    public void dividesLimitIntoSharesThatAddUpToIt() {
        for (boolean withConsole : new boolean[] {true, false}) {
            for (int base = 10; base <= 60; base += 5) {
                for (int limit = 160; limit <= MAX_LIMIT; limit++) {
                    DescriptorBudget budget = DescriptorBudget.divide(limit, base, withConsole);
                    assertEquals(budget.sum(), limit, budget.toString());
                    assertTrue(budget.discovery() > 0 && budget.counter() > 0, budget.toString());
                    assertTrue(budget.backends() >= DescriptorBudget.MIN_SHARE, budget.toString());
                    assertTrue(budget.clients() >= DescriptorBudget.MIN_SHARE, budget.toString());
                }
            }
        }
    }

    @Test
    public void usesMinimumSharesWhenLimitIsTooSmall() {
        DescriptorBudget budget = DescriptorBudget.divide(20, 40, true);
        assertEquals(budget.backends(), DescriptorBudget.MIN_SHARE);
        assertEquals(budget.clients(), DescriptorBudget.MIN_SHARE);
    }

    @Test
    public void serverHoldsNoMoreThanShareOfClients() {
        for (int clients = DescriptorBudget.MIN_SHARE; clients <= MAX_LIMIT; clients++) {
            int held = RespServer.maxDescriptors(RespServer.maxConnectionsWithin(clients));
            assertTrue(held <= clients, held + " descriptors held of a share of " + clients);
        }
    }
}
