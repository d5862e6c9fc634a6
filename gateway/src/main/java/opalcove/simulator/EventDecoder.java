package opalcove.simulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.decision.AdmissionRequest;
import opalcove.decision.AttemptOutcome;
import opalcove.decision.AttemptStatus;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import opalcove.decision.ProbeStatus;

/**
 * Decodes the events of the simulator's protocol. All methods throw {@link InvalidConfigurationException} for a field
 * that is missing or has the wrong form, or for an unknown code.
 */
final class EventDecoder {
    private static final Map<String, AttemptStatus> ATTEMPT_CODES = Map.of(
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

    private EventDecoder() {}

    /** Decodes the request of a {@code Submit}. */
    static AdmissionRequest request(JsonFields event) {
        return new AdmissionRequest(
                event.text("ticket"),
                event.text("priority"),
                event.text("grade_of_service"),
                event.text("holder"),
                event.number("units"),
                event.number("budget_ms"),
                event.integer("entry_points"),
                event.flag("resent"));
    }

    /**
     * Decodes the outcome of an {@code Outcome}. Its {@code use_pct} is 1 above the quota use in percent; 0 or absent
     * means that none was reported.
     */
    static AttemptOutcome outcome(JsonFields event) {
        AttemptStatus status = ATTEMPT_CODES.get(event.text("code"));
        if (status == null) {
            throw new InvalidConfigurationException("unknown code " + event.text("code"));
        }
        return new AttemptOutcome(
                event.text("ticket"),
                event.text("host"),
                event.integerOr("shot", 0),
                status,
                event.numberOr("latency_ms", 0),
                event.flag("ended"),
                event.integerOr("use_pct", 0) - 1,
                event.numberOr("charged", 0),
                event.numbers("feedback"));
    }

    /** Decodes the result of a {@code ProbeDone}. */
    static ProbeStatus healthCheckStatus(JsonFields event) {
        return event.text("code").equals("completed") ? ProbeStatus.DONE : ProbeStatus.NOT_DONE;
    }

    /** Decodes the entries of a {@code Roster}. */
    static List<Endpoint> endpoints(List<JsonFields> entries) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (JsonFields entry : entries) {
            endpoints.add(endpoint(entry));
        }
        return endpoints;
    }

    private static Endpoint endpoint(JsonFields entry) {
        EndpointState state =
                switch (entry.text("stage_state")) {
                    case "on" -> EndpointState.UP;
                    case "fading" -> EndpointState.DRAINING;
                    case "off" -> EndpointState.REMOVED;
                    default ->
                        throw new InvalidConfigurationException("unknown stage_state " + entry.text("stage_state"));
                };
        return new Endpoint(
                entry.text("host"),
                entry.textOr("rack_zone", ""),
                entry.textOr("model", ""),
                entry.integerOr("bay", 0),
                state,
                entry.numberOr("heft", 1),
                entry.numberOr("online_since_ms", 0));
    }
}
