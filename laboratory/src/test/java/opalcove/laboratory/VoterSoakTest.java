package opalcove.laboratory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Short runs of {@link VoterSoak} with fixed seeds. A build machine may be overloaded, so the time to a decision is printed but
 * not checked. Long runs, which check it, are started by hand: {@code opalcove agreement-trial --voter-faults}.
 */
public class VoterSoakTest {
    private static final int LEASE_MS = 2000;
    private static final int ROUNDS = 4;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{3L}, {11L}};
    }

    @Test(dataProvider = "seeds")
    public void decidesProposalsAndLosesNoAcceptedVersionUnderVoterFaults(long seed) throws Exception {
        VoterSoak.Result result = VoterSoak.run(new VoterSoak.Plan(seed, ROUNDS, LEASE_MS));
        System.out.print(result.text());
        assertTrue(result.accepted() > ROUNDS, result.text());
        assertEquals(
                result.violations().stream()
                        .filter(each -> each.rule() != VoterSoak.Rule.DECIDED_IN_TIME)
                        .toList(),
                List.of());
    }
}
