package opalcove.laboratory.coldstart;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import opalcove.decision.AdmissionRequest;
import opalcove.decision.Endpoint;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks counts and ratios of the slow-start model for a few seeds. It runs in virtual time, so each run gives the
 * same values.
 */
public class ColdStartTrialTest {
    private static final int SEEDS = 10;
    private static final SlowStartRule LONG_WINDOW = new SlowStartRule(2.5, 3000, 0.17, 18_000);
    private static final SlowStartRule SHORT_WINDOW = new SlowStartRule(3, 1000, 0.18, 17_000);

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {LONG_WINDOW, 30, 0.25}, {SHORT_WINDOW, 30, 0.2}, {LONG_WINDOW, 8, 0.24}, {SHORT_WINDOW, 8, 0.2}
        };
    }

    @Test(dataProvider = "fleets")
    public void usesBudgetWithoutOverloadingStartingBackends(SlowStartRule rule, int gateways, double minUsedShare) {
        SlowStartTrial trial = SlowStartTrial.play(new SlowStartPlan(gateways, rule, 1, SEEDS));
        assertTrue(trial.slowStarts() > 3 * SEEDS, trial.line());
        assertEquals(trial.falls(), 0, trial.line());
        assertTrue(trial.usedShare() > minUsedShare, trial.line());
    }

    /**
     * With small backends starting among large ones, each must receive load by its own size, not by the size of a
     * typical backend.
     */
    @Test
    public void keepsSmallBackendFarBelowLimitAmongLargeOnes() {
        SlowStartTrial trial = SlowStartTrial.play(new SlowStartPlan(30, LONG_WINDOW, 166, 1));
        assertTrue(trial.worstRatio() < 0.5, trial.line());
    }

    @Test
    public void givesSameRunForSameSeed() {
        SlowStartPlan plan = new SlowStartPlan(8, SHORT_WINDOW, 5, 1);
        assertEquals(SlowStartTrial.play(plan), SlowStartTrial.play(plan));
    }

    @Test
    public void integratesCapacityOverRampForServiceTime() {
        assertEquals(LONG_WINDOW.capacityShare(0), 0.17, 1e-9);
        assertEquals(LONG_WINDOW.capacityShare(18_000), 1, 1e-9);
        assertEquals(LONG_WINDOW.serviceMs(0, 18_000 * 1.17 / 2), 18_000, 1e-6);
        assertEquals(LONG_WINDOW.serviceMs(18_000, 200), 200, 1e-9);
        assertEquals(LONG_WINDOW.budget(0, 0.015), 2.5 * 0.17 * 0.015 * 3000, 1e-9);
    }

    /**
     * A backend that fails under the load of gateways that did not know of its start does not count as a violation of
     * the rule.
     */
    @Test
    public void countsOnlyRequestsOfInformedGateways() {
        assertTrue(ratioOfBurst(true) > 1);
        assertEquals(ratioOfBurst(false), 0.0);
    }

    private static double ratioOfBurst(boolean informed) {
        SlowStartPeriod period = new SlowStartPeriod(LONG_WINDOW, 1000, 0.015);
        for (int i = 0; i < 40; i++) {
            period.requestArrived(1000 + i, 1, informed);
        }
        return period.worstRatio();
    }

    /**
     * All backends restart at the same time; the load they served before the crash determines how much they receive
     * now.
     */
    @Test
    public void usesFleetWhenAllBackendsAreInSlowStart() {
        VirtualClock clock = new VirtualClock();
        List<ModelBackend> backends = new ArrayList<>();
        Map<String, ModelBackend> byName = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            ModelBackend backend = new ModelBackend(clock, LONG_WINDOW, "b" + i, "zone-1", SlowStartModel.LARGE, 200);
            backend.startWarm();
            backends.add(backend);
            byName.put(backend.name(), backend);
        }
        SlowStartPlan plan = new SlowStartPlan(1, LONG_WINDOW, 1, 1);
        ModelGateway gateway = new ModelGateway(
                clock, SlowStartModel.settings(plan, 0), byName, new SplittableRandom(1), latencyMs -> {});
        gateway.start(endpoints(backends));
        for (int i = 0; i < 600; i++) {
            String id = "r" + i;
            clock.after(40 * i, () -> gateway.request(request(id), 200));
        }
        clock.runUntil(10_000);
        backends.forEach(ModelBackend::crash);
        gateway.endpointsChanged(endpoints(backends));
        clock.runUntil(12_000);
        backends.forEach(ModelBackend::startInSlowStart);
        gateway.endpointsChanged(endpoints(backends));
        clock.runUntil(24_000);
        for (ModelBackend backend : backends) {
            SlowStartPeriod period = backend.slowStartPeriods().get(0);
            assertTrue(period.usedShare() > 0.05, backend.name() + " " + period.usedShare());
            assertTrue(period.worstRatio() < 1, backend.name() + " " + period.worstRatio());
        }
    }

    private static List<Endpoint> endpoints(List<ModelBackend> backends) {
        return backends.stream()
                .map(each -> each.endpoint(SlowStartModel.LARGE.capacity()))
                .toList();
    }

    private static AdmissionRequest request(String id) {
        return new AdmissionRequest(
                id, SlowStartModel.CLASSES[0], SlowStartModel.PLAN, "c", 1, SlowStartModel.DEADLINE_MS, 1, false);
    }
}
