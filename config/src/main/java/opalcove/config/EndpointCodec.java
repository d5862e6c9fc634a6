package opalcove.config;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;

/** Reads and writes lines of the node list in discovery's form. */
public final class EndpointCodec {
    private EndpointCodec() {}

    /**
     * Reads the backends of a list.
     *
     * @throws InvalidConfigurationException if an entry cannot be read, with its place
     */
    public static List<Backend> read(List<JsonFields> lines) {
        List<Backend> backends = new ArrayList<>();
        for (JsonFields line : lines) {
            String status = line.textOr("status", "up");
            EndpointState state =
                    switch (status) {
                        case "up" -> EndpointState.UP;
                        case "draining" -> EndpointState.DRAINING;
                        case "removed" -> EndpointState.REMOVED;
                        default ->
                            throw new InvalidConfigurationException(
                                    line.at("status"), "has an unknown value " + status);
                    };
            backends.add(new Backend(
                    new Endpoint(
                            line.text("name"),
                            line.textOr("zone", ""),
                            line.textOr("type", ""),
                            line.wholeOr("group", 0),
                            state,
                            line.numberOr("weight", 1),
                            line.numberOr("since_ms", 0)),
                    line.text("address")));
        }
        return backends;
    }

    /** Writes one line. */
    public static JsonObject write(Backend backend) {
        Endpoint host = backend.host();
        String status =
                switch (host.state()) {
                    case UP -> "up";
                    case DRAINING -> "draining";
                    case REMOVED -> "removed";
                };
        return new JsonObject()
                .add("name", host.id())
                .add("address", backend.address())
                .add("zone", host.zone())
                .add("type", host.kind())
                .add("group", host.cell())
                .add("status", status)
                .add("weight", host.size())
                .add("since_ms", (long) host.startedMs());
    }

    /** Writes a whole list, or its changed lines, with the index that they have or build on. */
    public static JsonObject write(long index, boolean whole, List<Backend> backends) {
        JsonArray lines = new JsonArray();
        backends.forEach(backend -> lines.add(write(backend)));
        return new JsonObject().add("index", index).add("snapshot", whole).add("endpoints", lines);
    }
}
