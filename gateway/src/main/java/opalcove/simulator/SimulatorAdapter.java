package opalcove.simulator;

import com.eclipsesource.json.JsonObject;
import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.decision.AdmissionController;
import opalcove.decision.DecisionModule;
import opalcove.decision.Endpoint;

/**
 * Adapts the decision module to the simulator's protocol: reads batches of events, delivers them to the modules of the
 * simulated gateways and writes their actions. Owned by the thread that calls {@link #run}.
 */
public final class SimulatorAdapter {
    private final BufferedReader input;
    private final Writer output;
    private final Map<Integer, DecisionModule> modules = new HashMap<>();
    private final Map<Integer, List<Endpoint>> rosters = new HashMap<>();
    private double nowMs;
    private boolean inBatch;

    /** Creates an adapter that reads the simulator's batches from the input and writes the replies to the output. */
    public SimulatorAdapter(InputStream input, OutputStream output) {
        this.input = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), 1 << 16);
        this.output = new OutputStreamWriter(output, StandardCharsets.UTF_8);
    }

    /** Replies to batches on standard input and output until the input ends. */
    public static void onStandardStreams() throws IOException {
        try (OutputStream output = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new SimulatorAdapter(new FileInputStream(FileDescriptor.in), output).run();
        }
    }

    /**
     * Replies to batches until the input ends.
     *
     * @throws InvalidConfigurationException at the first message that does not follow the protocol
     */
    public void run() throws IOException {
        for (String line = input.readLine(); line != null; line = input.readLine()) {
            JsonFields message = JsonFields.parse(line);
            String verb = message.text("verb");
            if (verb.equals("Sync")) {
                beginBatch(message);
            } else if (!inBatch) {
                throw new InvalidConfigurationException(verb + " outside a batch");
            } else {
                handle(verb, message);
            }
        }
        if (inBatch) {
            throw new InvalidConfigurationException("the input ended inside a batch");
        }
    }

    private void beginBatch(JsonFields sync) {
        if (inBatch) {
            throw new InvalidConfigurationException("Sync inside a batch");
        }
        double timeMs = sync.number("time_ms");
        if (timeMs < nowMs) {
            throw new InvalidConfigurationException("field time_ms must not be lower than in the previous batch");
        }
        nowMs = timeMs;
        inBatch = true;
    }

    private void endBatch() throws IOException {
        inBatch = false;
        ActionWriter.write(output, new JsonObject().add("verb", "End"));
        output.flush();
    }

    private void handle(String verb, JsonFields event) throws IOException {
        switch (verb) {
            case "Flush" -> endBatch();
            case "Roster" -> rosters.put(event.integer("ref"), EventDecoder.endpoints(event.objects("lines")));
            case "Born" -> start(event.integer("gateway"), event);
            case "Killed" -> modules.remove(event.integer("gateway"));
            // The adapter uses neither peers nor the counter, but their events must still name a gateway.
            case "Inbox", "Total" -> event.integer("gateway");
            case "Announce" -> announce(module(event), event);
            case "Submit" -> module(event).requestArrived(nowMs, EventDecoder.request(event));
            case "Outcome" -> module(event).attemptEnded(nowMs, EventDecoder.outcome(event));
            case "Established" ->
                module(event).responseStarted(nowMs, event.text("ticket"), event.integerOr("shot", 0));
            case "CancelledByClient" -> module(event).requestCancelled(nowMs, event.text("ticket"));
            case "TickDue" -> module(event).timerExpired(nowMs, event.longInteger("handle"));
            case "ProbeDone" -> healthCheckEnded(module(event), event);
            default -> throw new InvalidConfigurationException("unknown verb " + verb);
        }
    }

    private DecisionModule module(JsonFields event) {
        DecisionModule module = modules.get(event.integer("gateway"));
        if (module == null) {
            throw new InvalidConfigurationException(
                    event.text("verb") + " for gateway " + event.integer("gateway") + ", which is not running");
        }
        return module;
    }

    private void start(int gateway, JsonFields event) {
        modules.put(
                gateway,
                new AdmissionController(
                        nowMs,
                        SettingsReader.read(event.object("facts")),
                        event.longInteger("rng_seed"),
                        new ActionWriter(gateway, output)));
    }

    private void announce(DecisionModule module, JsonFields event) {
        String form = event.text("form");
        if (form.equals("broken")) {
            module.endpointListFailed(nowMs);
            return;
        }
        if (!form.equals("whole") && !form.equals("patch") && !form.equals("stale_copy")) {
            throw new InvalidConfigurationException("unknown form " + form);
        }
        List<Endpoint> endpoints = rosters.get(event.integer("ref"));
        if (endpoints == null) {
            throw new InvalidConfigurationException("no Roster with ref " + event.integer("ref"));
        }
        module.endpointsChanged(nowMs, !form.equals("patch"), endpoints);
    }

    private void healthCheckEnded(DecisionModule module, JsonFields event) {
        module.healthCheckEnded(
                nowMs,
                event.text("host"),
                EventDecoder.healthCheckStatus(event),
                event.numberOr("latency_ms", 0),
                event.numbers("feedback"));
    }
}
