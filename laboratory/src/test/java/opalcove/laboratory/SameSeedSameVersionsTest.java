package opalcove.laboratory;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that the model sends as many messages and adopts versions at the same times in each run with the same seed. */
public class SameSeedSameVersionsTest {
    private static String run(long seed) {
        AgreementModel model = new AgreementModel(seed, 7, 3, 2000, 200);
        model.run(5000);
        model.propose("g1", 0, "one");
        model.run(3000);
        String leader = model.leader();
        model.pause("g5", 3000);
        model.cut(leader, "g6");
        model.propose("g2", 1, "two");
        model.run(5000);
        model.heal();
        model.propose(leader, 2, "three");
        model.run(3);
        model.kill(leader);
        model.run(15_000);
        return leader + " " + model.messages() + " " + model.adoptionTimes(1) + " " + model.adoptionTimes(2) + " "
                + model.adoptionTimes(3);
    }

    @DataProvider
    public Object[][] runs() {
        return new Object[][] {
            {
                1L,
                "g3 2264 {g1=1005010, g2=1005010, g3=1005015, g4=1005010, g5=1005010, g6=1005013, g7=1005012} "
                        + "{g1=1008010, g2=1008008, g3=1008007, g4=1008008, g5=1011002, g6=1008011, g7=1008008} "
                        + "{g1=1014457, g2=1014212, g4=1014215, g5=1014209, g6=1014463, g7=1014210}"
            },
            {
                2L,
                "g3 2394 {g1=1005018, g2=1005013, g3=1005014, g4=1005009, g5=1005014, g6=1005018, g7=1005017} "
                        + "{g1=1008007, g2=1008007, g3=1008014, g4=1008008, g5=1011006, g6=1008011, g7=1008013} "
                        + "{g1=1014393, g2=1014146, g4=1014145, g5=1014642, g6=1014391, g7=1014393}"
            },
            {
                3L,
                "g1 2398 {g1=1005008, g2=1005012, g3=1005008, g4=1005003, g5=1005015, g6=1005012, g7=1005014} "
                        + "{g1=1008013, g2=1008013, g3=1008009, g4=1008005, g5=1011004, g6=1008009, g7=1008009} "
                        + "{g2=1014461, g3=1014207, g4=1014208, g5=1014460, g6=1014458, g7=1014463}"
            }
        };
    }

    @Test(dataProvider = "runs")
    public void givesSameRunForSameSeed(long seed, String expected) {
        assertEquals(run(seed), expected);
    }
}
