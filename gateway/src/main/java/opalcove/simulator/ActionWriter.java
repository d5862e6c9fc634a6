package opalcove.simulator;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.WriterConfig;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import opalcove.decision.DecisionActions;

/**
 * Writes the actions of one simulated gateway to the simulator, each immediately and on a line of its own. Owned by the
 * thread that runs the adapter; a failed write throws {@link UncheckedIOException}.
 */
final class ActionWriter implements DecisionActions {
    private final int gateway;
    private final Writer output;

    ActionWriter(int gateway, Writer output) {
        this.gateway = gateway;
        this.output = output;
    }

    /** Writes a message on a line of its own. */
    static void write(Writer output, JsonObject message) {
        try {
            message.writeTo(output, WriterConfig.MINIMAL);
            output.write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void write(JsonObject action) {
        write(output, action);
    }

    private JsonObject action(String verb) {
        return new JsonObject().add("verb", verb).add("gateway", gateway);
    }

    @Override
    public void startAttempt(String requestId, String backend, double timeoutMs) {
        JsonObject action = action("HandOff").add("ticket", requestId);
        if (timeoutMs > 0) {
            action.add("limit_ms", timeoutMs);
        }
        write(action.add("host", backend));
    }

    @Override
    public void shed(String requestId, double retryAfterMs) {
        JsonObject action = action("NotNow").add("ticket", requestId);
        if (retryAfterMs > 0) {
            action.add("not_before_for_ms", retryAfterMs);
        }
        write(action);
    }

    @Override
    public void fail(String requestId) {
        write(action("RespondError").add("ticket", requestId));
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
        write(action("CallOff").add("ticket", requestId).add("shot", attempt));
    }

    @Override
    public void setTimer(long token, double afterMs) {
        write(action("WakeMe").add("handle", token).add("sleep_for_ms", afterMs));
    }

    @Override
    public void checkHealth(String backend) {
        write(action("Test").add("host", backend));
    }

    @Override
    public void subscribeToEndpoints() {
        write(action("StreamChanges").add("active", true));
    }

    @Override
    public void log(String line) {
        write(action("Emit").add("message", line));
    }
}
