package opalcove.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Shows how a gateway embeds the decision module: it delivers events and performs the actions that follow. */
class ExampleTest {
    /** A gateway that describes the actions instead of performing them. */
    static final class DescribingGateway implements DecisionActions {
        final List<String> actions = new ArrayList<>();

        @Override
        public void startAttempt(String id, String backend, double timeoutMs) {
            actions.add("start attempt of " + id + " at " + backend);
        }

        @Override
        public void shed(String id, double retryAfterMs) {
            actions.add("shed " + id);
        }

        @Override
        public void fail(String id) {
            actions.add("fail " + id);
        }

        @Override
        public void cancelAttempt(String id, int attempt) {
            actions.add("cancel attempt " + attempt + " of " + id);
        }

        @Override
        public void setTimer(long token, double afterMs) {
            // a real gateway calls module.timerExpired(nowMs, token) after afterMs
        }

        @Override
        public void checkHealth(String backend) {
            actions.add("check health of " + backend);
        }

        @Override
        public void subscribeToEndpoints() {
            actions.add("subscribe to endpoints");
        }

        @Override
        public void log(String line) {
            actions.add("log " + line);
        }
    }

    @Test
    void gatewayEmbedsDecisionModule() {
        DescribingGateway gateway = new DescribingGateway();
        DecisionSettings settings = new DecisionSettings(
                0,
                2,
                "east",
                1,
                1000,
                false,
                List.of(new DecisionSettings.RequestClass(
                        "read", 1, 0, 500, 2000, Idempotency.SAFE, DeduplicationScope.ALL, 0, false)),
                List.of(new DecisionSettings.Plan("basic", 5, 10, 0, 1, 0, 1, 0, 0, 0)),
                new DecisionSettings.Limits(3, true, true, false, true, 1000, 15_000, false),
                new DecisionSettings.Obligations(5, 0.2, 10_000, 2, 2000, false, 0),
                new DecisionSettings.Costs(0, 0, 0, 0),
                LoadReportSource.NONE,
                List.of());
        DecisionModule module = new AdmissionController(0, settings, 42, gateway);
        module.endpointsChanged(0, true, List.of(new Endpoint("h1", "east", "small", 0, EndpointState.UP, 1, 0)));
        module.requestArrived(3, new AdmissionRequest("r1", "read", "basic", "ann", 1, 2000, 2, false));
        module.attemptEnded(40, new AttemptOutcome("r1", "h1", 0, AttemptStatus.SERVED, 37, true, 20, 0, null));
        module.requestArrived(50, new AdmissionRequest("r2", "read", "gold", "bob", 1, 2000, 2, false));
        assertEquals(
                List.of("start attempt of r1 at h1", "log refused: unknown plan or class gold read", "shed r2"),
                gateway.actions);
    }
}
