package opalcove.plan;

import com.eclipsesource.json.JsonObject;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import opalcove.config.Backend;
import opalcove.config.EndpointCodec;
import opalcove.decision.EndpointState;

/** Describes a plan for operators to review before they apply it, with one line per change. */
final class PlanDescription {
    private PlanDescription() {}

    static String of(List<Backend> running, List<Backend> changes) {
        Map<String, Backend> runningByName = new HashMap<>();
        running.forEach(backend -> runningByName.putIfAbsent(backend.name(), backend));
        StringBuilder text = new StringBuilder();
        for (Backend change : changes) {
            text.append(line(runningByName.get(change.name()), change)).append('\n');
        }
        return text.length() == 0 ? "no changes\n" : text.toString();
    }

    private static String line(Backend before, Backend change) {
        EndpointState state = change.endpoint().state();
        if (before == null) {
            return "+ " + change.name() + " at " + change.address() + ", " + label(state);
        }
        if (state == EndpointState.REMOVED) {
            boolean isUp = before.endpoint().state() == EndpointState.UP;
            return "- " + change.name() + (isUp ? ", which has not been drained" : "");
        }
        return "~ " + change.name() + differences(before, change);
    }

    private static String label(EndpointState state) {
        return switch (state) {
            case UP -> "UP";
            case DRAINING -> "DRAINING";
            case REMOVED -> "GONE";
        };
    }

    private static String differences(Backend before, Backend after) {
        JsonObject former = EndpointCodec.write(before);
        StringBuilder text = new StringBuilder();
        for (JsonObject.Member field : EndpointCodec.write(after)) {
            if (!field.getValue().equals(former.get(field.getName()))) {
                text.append(text.length() == 0 ? ": " : ", ")
                        .append(field.getName())
                        .append(" from ")
                        .append(former.get(field.getName()))
                        .append(" to ")
                        .append(field.getValue());
            }
        }
        return text.toString();
    }
}
