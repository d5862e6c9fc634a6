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
 * The changes that bring the endpoint list of a running gateway to the state in a settings file. A plan file has the
 * JSON form of endpoint changes from the discovery module.
 *
 * @param control address at which the gateway accepts the plan
 * @param index index of the endpoint list from which the plan was made; the gateway rejects a plan made from an older
 *     list
 * @param changes added, changed and removed backends
 */
record EndpointPlan(HostAndPort control, long index, List<Backend> changes) {
    /** Returns the changes that turn the running list into the wanted one. */
    static List<Backend> changes(List<Backend> running, List<Backend> wanted) {
        Map<String, Backend> remaining = new LinkedHashMap<>();
        running.forEach(backend -> remaining.put(backend.name(), backend));
        List<Backend> changes = new ArrayList<>();
        for (Backend backend : wanted) {
            if (!backend.equals(remaining.remove(backend.name()))) {
                changes.add(backend);
            }
        }
        remaining.values().forEach(backend -> changes.add(removed(backend)));
        return changes;
    }

    private static Backend removed(Backend backend) {
        Endpoint endpoint = backend.endpoint();
        return new Backend(
                new Endpoint(
                        endpoint.id(),
                        endpoint.zone(),
                        endpoint.kind(),
                        endpoint.cell(),
                        EndpointState.REMOVED,
                        endpoint.size(),
                        endpoint.startedMs()),
                backend.address());
    }

    /**
     * Reads a plan from a file or a request.
     *
     * @throws InvalidConfigurationException if the text is not a plan, with field and reason
     */
    static EndpointPlan read(String text) {
        JsonFields fields = JsonFields.parse(text);
        if (fields.flag("snapshot")) {
            throw new InvalidConfigurationException("field snapshot must be false: a plan holds changes");
        }
        List<Backend> changes = EndpointCodec.read(fields.objects("endpoints"));
        return new EndpointPlan(
                HostAndPort.parse(fields.text("control"), "control"), fields.longInteger("index"), changes);
    }

    String write() {
        JsonObject plan = EndpointCodec.write(index, false, changes);
        return plan.add("control", control.address() + ":" + control.port()).toString(WriterConfig.PRETTY_PRINT) + "\n";
    }
}
