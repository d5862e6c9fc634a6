package opalcove.plan;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.WriterConfig;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import opalcove.config.Backend;
import opalcove.config.EndpointCodec;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;

/**
 * What has to change in a running gateway's node list for it to be as a settings file says. Its file has discovery's
 * form for changes; the index is that of the list on which it builds, so that a plan made of an older one is refused.
 */
public record EndpointPlan(HostAndPort control, long index, List<Backend> changes) {
    /** The changes that lead from one list to the other. */
    static List<Backend> between(List<Backend> now, List<Backend> wanted) {
        Map<String, Backend> left = new LinkedHashMap<>();
        now.forEach(backend -> left.put(backend.name(), backend));
        List<Backend> changes = new ArrayList<>();
        for (Backend backend : wanted) {
            if (!backend.equals(left.remove(backend.name()))) {
                changes.add(backend);
            }
        }
        for (Backend backend : left.values()) {
            Endpoint h = backend.endpoint();
            changes.add(new Backend(
                    new Endpoint(h.id(), h.zone(), h.kind(), h.cell(), EndpointState.REMOVED, h.size(), h.startedMs()),
                    backend.address()));
        }
        return changes;
    }

    /** A line for each change, for the operators to read before they apply it. */
    static String describe(List<Backend> now, List<Backend> changes) {
        StringBuilder text = new StringBuilder();
        for (Backend change : changes) {
            Backend before = now.stream()
                    .filter(n -> n.name().equals(change.name()))
                    .findFirst()
                    .orElse(null);
            boolean gone = change.endpoint().state() == EndpointState.REMOVED;
            text.append(before == null ? "+ " : gone ? "- " : "~ ").append(change.name());
            if (before == null) {
                text.append(" at ")
                        .append(change.address())
                        .append(", ")
                        .append(stateLabel(change.endpoint().state()));
            } else if (gone) {
                text.append(before.endpoint().state() == EndpointState.UP ? ", which has not been drained" : "");
            } else {
                text.append(differences(before, change));
            }
            text.append('\n');
        }
        return text.length() == 0 ? "no changes\n" : text.toString();
    }

    /** The state as operators read it in a plan. */
    private static String stateLabel(EndpointState state) {
        return switch (state) {
            case UP -> "UP";
            case DRAINING -> "DRAINING";
            case REMOVED -> "GONE";
        };
    }

    private static String differences(Backend before, Backend after) {
        JsonObject was = EndpointCodec.write(before);
        StringBuilder text = new StringBuilder();
        for (JsonObject.Member field : EndpointCodec.write(after)) {
            if (!field.getValue().equals(was.get(field.getName()))) {
                text.append(text.length() == 0 ? ": " : ", ")
                        .append(field.getName())
                        .append(" from ")
                        .append(was.get(field.getName()))
                        .append(" to ")
                        .append(field.getValue());
            }
        }
        return text.toString();
    }

    /** Reads a plan file, or a plan that was sent. */
    static EndpointPlan read(String text) {
        JsonFields fields = JsonFields.parse(text);
        if (fields.flag("snapshot")) {
            throw new InvalidConfigurationException("field snapshot must be false: a plan holds changes");
        }
        List<Backend> changes = EndpointCodec.read(fields.objects("endpoints"));
        return new EndpointPlan(HostAndPort.parse(fields.text("control"), "control"), fields.serial("index"), changes);
    }

    String write() {
        JsonObject plan = EndpointCodec.write(index, false, changes);
        return plan.add("control", control.address() + ":" + control.port()).toString(WriterConfig.PRETTY_PRINT) + "\n";
    }
}
