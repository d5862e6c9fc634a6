package opalcove.simulator;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.WriterConfig;
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
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.decision.AdmissionController;
import opalcove.decision.AdmissionRequest;
import opalcove.decision.AttemptOutcome;
import opalcove.decision.AttemptStatus;
import opalcove.decision.DecisionActions;
import opalcove.decision.DecisionModule;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import opalcove.decision.ProbeStatus;

/** The adapter of the bench's wire: reads batches of events, hands them to the modules, writes their actions. */
public final class SimulatorAdapter {
    private static final Map<String, AttemptStatus> RESULTS = Map.of(
            "completed",
            AttemptStatus.SERVED,
            "errored",
            AttemptStatus.ERROR,
            "saturated",
            AttemptStatus.REJECTED,
            "overdue",
            AttemptStatus.TIMED_OUT,
            "refused_conn",
            AttemptStatus.UNREACHABLE,
            "severed",
            AttemptStatus.BROKEN,
            "recalled",
            AttemptStatus.CANCELLED,
            "superseded",
            AttemptStatus.NOT_SENT);

    private final BufferedReader in;
    private final Writer out;
    private final Map<Integer, DecisionModule> modules = new HashMap<>();
    private final Map<Integer, List<Endpoint>> rosters = new HashMap<>();
    private double now;
    private boolean inBatch;

    /** Reads the simulator's batches from the input and writes the replies to the output. */
    public SimulatorAdapter(InputStream input, OutputStream output) {
        in = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), 1 << 16);
        out = new OutputStreamWriter(output, StandardCharsets.UTF_8);
    }

    /** Answers batches on standard input and output until the input ends. */
    public static void onStandardStreams() throws IOException {
        try (OutputStream output = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new SimulatorAdapter(new FileInputStream(FileDescriptor.in), output).run();
        }
    }

    /** Answers batches until the input ends. */
    public void run() throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            JsonFields message = JsonFields.parse(line);
            message(message.text("verb"), message);
        }
        if (inBatch) {
            throw new InvalidConfigurationException("the input ended inside a batch");
        }
    }

    private void message(String verb, JsonFields m) throws IOException {
        if (verb.equals("Sync")) {
            if (inBatch) {
                throw new InvalidConfigurationException("Sync inside a batch");
            }
            double time = m.number("time_ms");
            if (time < now) {
                throw new InvalidConfigurationException("time_ms goes back");
            }
            now = time;
            inBatch = true;
            return;
        }
        if (!inBatch) {
            throw new InvalidConfigurationException(verb + " outside a batch");
        }
        switch (verb) {
            case "Flush" -> flush();
            case "Roster" -> rosters.put(m.whole("ref"), roster(m.objects("lines")));
            case "Born" -> born(m.whole("gateway"), m);
            case "Killed" -> modules.remove(m.whole("gateway"));
            case "Inbox", "Total" -> m.whole("gateway");
            case "Announce" -> announce(module(m), m);
            case "Submit" ->
                module(m)
                        .requestArrived(
                                now,
                                new AdmissionRequest(
                                        m.text("ticket"),
                                        m.text("priority"),
                                        m.text("grade_of_service"),
                                        m.text("holder"),
                                        m.number("units"),
                                        m.number("budget_ms"),
                                        m.whole("entry_points"),
                                        m.flag("resent")));
            case "Outcome" -> outcome(module(m), m);
            case "Established" -> module(m).responseStarted(now, m.text("ticket"), m.wholeOr("shot", 0));
            case "CancelledByClient" -> module(m).requestCancelled(now, m.text("ticket"));
            case "TickDue" -> module(m).timerExpired(now, m.serial("handle"));
            case "ProbeDone" ->
                module(m)
                        .healthCheckEnded(
                                now,
                                m.text("host"),
                                m.text("code").equals("completed") ? ProbeStatus.DONE : ProbeStatus.NOT_DONE,
                                m.numberOr("latency_ms", 0),
                                m.row("feedback"));
            default -> throw new InvalidConfigurationException("unknown verb " + verb);
        }
    }

    private void flush() throws IOException {
        inBatch = false;
        write(new JsonObject().add("verb", "End"));
        out.flush();
    }

    private void write(JsonObject message) {
        try {
            message.writeTo(out, WriterConfig.MINIMAL);
            out.write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private DecisionModule module(JsonFields m) {
        DecisionModule module = modules.get(m.whole("gateway"));
        if (module == null) {
            throw new InvalidConfigurationException(
                    m.text("verb") + " for gateway " + m.whole("gateway") + ", which is not running");
        }
        return module;
    }

    private void born(int gateway, JsonFields m) {
        try {
            modules.put(
                    gateway,
                    new AdmissionController(
                            now, SettingsReader.read(m.object("facts")), m.serial("rng_seed"), new Wire(gateway)));
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigurationException("settings of gateway " + gateway + ": " + e.getMessage());
        }
    }

    private void announce(DecisionModule module, JsonFields m) {
        String form = m.text("form");
        if (form.equals("broken")) {
            module.endpointListFailed(now);
            return;
        }
        if (!form.equals("whole") && !form.equals("patch") && !form.equals("stale_copy")) {
            throw new InvalidConfigurationException("unknown form " + form);
        }
        List<Endpoint> lines = rosters.get(m.whole("ref"));
        if (lines == null) {
            throw new InvalidConfigurationException("no Roster numbered " + m.whole("ref"));
        }
        module.endpointsChanged(now, !form.equals("patch"), lines);
    }

    private void outcome(DecisionModule module, JsonFields m) {
        AttemptStatus result = RESULTS.get(m.text("code"));
        if (result == null) {
            throw new InvalidConfigurationException("unknown code " + m.text("code"));
        }
        module.attemptEnded(
                now,
                new AttemptOutcome(
                        m.text("ticket"),
                        m.text("host"),
                        m.wholeOr("shot", 0),
                        result,
                        m.numberOr("latency_ms", 0),
                        m.flag("ended"),
                        m.wholeOr("use_pct", 0) - 1,
                        m.numberOr("charged", 0),
                        m.row("feedback")));
    }

    private static List<Endpoint> roster(List<JsonFields> lines) {
        List<Endpoint> hosts = new ArrayList<>();
        for (JsonFields h : lines) {
            EndpointState state =
                    switch (h.text("stage_state")) {
                        case "on" -> EndpointState.UP;
                        case "fading" -> EndpointState.DRAINING;
                        case "off" -> EndpointState.REMOVED;
                        default ->
                            throw new InvalidConfigurationException("unknown stage_state " + h.text("stage_state"));
                    };
            hosts.add(new Endpoint(
                    h.text("host"),
                    h.textOr("rack_zone", ""),
                    h.textOr("model", ""),
                    h.wholeOr("bay", 0),
                    state,
                    h.numberOr("heft", 1),
                    h.numberOr("online_since_ms", 0)));
        }
        return hosts;
    }

    /** Writes one instance's actions. */
    private final class Wire implements DecisionActions {
        private final int gateway;

        Wire(int gateway) {
            this.gateway = gateway;
        }

        private JsonObject start(String verb) {
            return new JsonObject().add("verb", verb).add("gateway", gateway);
        }

        @Override
        public void startAttempt(String id, String host, double timeoutMs) {
            JsonObject action = start("HandOff").add("ticket", id);
            if (timeoutMs > 0) {
                action.add("limit_ms", timeoutMs);
            }
            write(action.add("host", host));
        }

        @Override
        public void shed(String id, double retryAfterMs) {
            JsonObject action = start("NotNow").add("ticket", id);
            if (retryAfterMs > 0) {
                action.add("not_before_for_ms", retryAfterMs);
            }
            write(action);
        }

        @Override
        public void fail(String id) {
            write(start("RespondError").add("ticket", id));
        }

        @Override
        public void cancelAttempt(String id, int attempt) {
            write(start("CallOff").add("ticket", id).add("shot", attempt));
        }

        @Override
        public void setTimer(long token, double afterMs) {
            write(start("WakeMe").add("handle", token).add("sleep_for_ms", afterMs));
        }

        @Override
        public void checkHealth(String host) {
            write(start("Test").add("host", host));
        }

        @Override
        public void subscribeToEndpoints() {
            write(start("StreamChanges").add("active", true));
        }

        @Override
        public void log(String line) {
            write(start("Emit").add("message", line));
        }
    }
}
