package opalcove.laboratory.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs a short soak of real processes with fixed seeds. A build machine may be overloaded, so only rules without time
 * limits fail the test; violations of the others are printed. Long soaks, which check all rules, are run by hand:
 * {@code opalcove soak --help}.
 */
public class SoakTest {
    private static final Set<SoakRule> RULES_WITHOUT_TIME_LIMIT = EnumSet.of(
            SoakRule.OWN_VALUE,
            SoakRule.ATTEMPTS,
            SoakRule.REFUSAL,
            SoakRule.CEILING,
            SoakRule.NO_CRASH,
            SoakRule.DESCRIPTORS);

    private static final SoakPlan.Size SHORT = new SoakPlan.Size(2, 4, 6000);
    private static final List<FaultType> CLIENT_AND_BACKEND_FAULTS = List.of(
            FaultType.BACKEND_LONG,
            FaultType.BACKEND_SPOILT,
            FaultType.BACKEND_KILL,
            FaultType.CLIENT_PIPELINES,
            FaultType.CLIENT_ERRORS,
            FaultType.CLIENT_LEAVES,
            FaultType.CLIENT_STALLS,
            FaultType.LINK_RESET);
    private static final List<FaultType> SYSTEM_FAULTS = List.of(
            FaultType.ACCEPT_FAILS,
            FaultType.SOCKET_FAILS,
            FaultType.CONNECT_FAILS,
            FaultType.READ_FAILS,
            FaultType.SHORT_CALLS,
            FaultType.WAIT_INTERRUPTED,
            FaultType.CLOCK_STEP,
            FaultType.GATEWAY_TERM);

    @DataProvider
    public Object[][] plans() {
        return new Object[][] {{1, CLIENT_AND_BACKEND_FAULTS}, {2, CLIENT_AND_BACKEND_FAULTS}, {3, SYSTEM_FAULTS}};
    }

    @Test(dataProvider = "plans")
    public void keepsRulesWithoutTimeLimitUnderOverlappingFaults(long seed, List<FaultType> kinds) throws Exception {
        Soak soak = new Soak(Files.createTempDirectory("soak-test"));
        assertTrue(soak.hasShim(), "a C compiler (cc) is needed to make system calls fail: install gcc and libc6-dev");
        SoakResult result = soak.run(SoakPlan.of(seed, SHORT, kinds), false);
        System.out.print(result.plan().text() + result.text());
        assertNotEquals(result.ends().getOrDefault("SERVED", 0), 0, "no request was served");
        List<SoakViolation> failing = result.violations().stream()
                .filter(violation -> RULES_WITHOUT_TIME_LIMIT.contains(violation.rule()))
                .toList();
        assertEquals(failing, List.of());
    }

    @Test
    public void drawsSamePlanForSameSeed() {
        SoakPlan.Size size = new SoakPlan.Size(0, 0, 0);
        assertEquals(SoakPlan.of(5, size), SoakPlan.of(5, size));
        assertNotEquals(SoakPlan.of(5, size).faults(), SoakPlan.of(6, size).faults());
    }

    @Test
    public void drawsOverlappingFaultsThatCanBeLeftOut() {
        SoakPlan plan = SoakPlan.of(7, new SoakPlan.Size(0, 0, 0));
        for (Fault each : plan.faults()) {
            assertTrue(
                    plan.faults().stream().anyMatch(other -> other.number() != each.number() && other.overlaps(each)),
                    each.toString());
            assertEquals(
                    plan.without(Set.of(each.number())).faults().size(),
                    plan.faults().size() - 1);
        }
    }
}
