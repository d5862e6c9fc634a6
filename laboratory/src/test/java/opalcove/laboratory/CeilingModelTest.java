package opalcove.laboratory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import opalcove.laboratory.CeilingModel.Restarts;
import opalcove.laboratory.CeilingModel.Result;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the hard ceiling over four gateways in virtual time, with fixed seeds, so that each run has the same result. */
public class CeilingModelTest {
    private static final int SEEDS = 100;
    private static final int ACCOUNTS = 8;

    @DataProvider
    public Object[][] restarts() {
        return new Object[][] {{Restarts.NONE}, {Restarts.ROLLING}, {Restarts.HANDED_OVER}, {Restarts.RANDOM}};
    }

    @Test(dataProvider = "restarts")
    public void exceedsCeilingByNoMoreThanSlackUnderTrafficShiftsAndRestarts(Restarts restarts) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result result = CeilingModel.play(seed, ACCOUNTS, restarts, true);
            assertTrue(
                    result.lowestCeiling() >= -1,
                    restarts + ", seed " + seed + ": lowest " + result.lowestCeiling() + " times the slack");
        }
    }

    @Test
    public void losesLittleWorkInsideQuotasWhenCeilingIsSplitBetweenGateways() {
        double inside = 0;
        double lost = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result enforced = CeilingModel.play(seed, ACCOUNTS, Restarts.NONE, true);
            Result notEnforced = CeilingModel.play(seed, ACCOUNTS, Restarts.NONE, false);
            assertEquals(enforced.insideUnits(), notEnforced.insideUnits(), "the same traffic");
            inside += enforced.insideUnits();
            lost += notEnforced.forwardedInsideUnits() - enforced.forwardedInsideUnits();
        }
        assertTrue(lost <= 0.002 * inside, "lost " + lost + " of " + inside + " units inside the quotas");
    }
}
