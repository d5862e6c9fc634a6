package opalcove.config;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;

/** Reads and writes endpoint lists in the JSON format of discovery. */
public final class EndpointCodec {
    private EndpointCodec() {}

    /**
     * Reads the entries of a list.
     *
     * @throws InvalidConfigurationException if an entry is invalid; it names the path of the entry's key
     */
    public static List<Backend> read(List<JsonFields> entries) {
        List<Backend> backends = new ArrayList<>();
        for (JsonFields entry : entries) {
            String status = entry.textOr("status", "up");
            EndpointState state =
                    switch (status) {
                        case "up" -> EndpointState.UP;
                        case "draining" -> EndpointState.DRAINING;
                        case "removed" -> EndpointState.REMOVED;
                        default ->
                            throw new InvalidConfigurationException(
                                    entry.pathOf("status"), "has an unknown value " + status);
                    };
            backends.add(new Backend(
                    new Endpoint(
                            entry.text("name"),
                            entry.textOr("zone", ""),
                            entry.textOr("type", ""),
                            entry.integerOr("group", 0),
                            state,
                            entry.numberOr("weight", 1),
                            entry.numberOr("since_ms", 0)),
                    entry.text("address")));
        }
        return backends;
    }

    /** Writes one entry of a list. */
    public static JsonObject write(Backend backend) {
        Endpoint endpoint = backend.endpoint();
        String status =
                switch (endpoint.state()) {
                    case UP -> "up";
                    case DRAINING -> "draining";
                    case REMOVED -> "removed";
                };
        return new JsonObject()
                .add("name", endpoint.id())
                .add("address", backend.address())
                .add("zone", endpoint.zone())
                .add("type", endpoint.kind())
                .add("group", endpoint.cell())
                .add("status", status)
                .add("weight", endpoint.size())
                .add("since_ms", (long) endpoint.startedMs());
    }

    /**
     * Writes a complete list, or only its changed entries.
     *
     * @param index the version of the list once these entries are applied
     * @param complete whether the entries are the complete list rather than changes
     */
    public static JsonObject write(long index, boolean complete, List<Backend> backends) {
        JsonArray entries = new JsonArray();
        backends.forEach(backend -> entries.add(write(backend)));
        return new JsonObject().add("index", index).add("snapshot", complete).add("endpoints", entries);
    }
}
