package opalcove.discovery;

import java.util.List;
import opalcove.config.Backend;
import opalcove.config.EndpointCodec;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;

/**
 * The body of a response of discovery.
 *
 * @param index the list's version
 * @param isComplete whether it holds the complete list, or else the entries that changed
 */
record EndpointListResponse(long index, boolean isComplete, List<Backend> backends) {
    /**
     * Parses a body.
     *
     * @throws InvalidConfigurationException if any of it cannot be read, with the place
     */
    static EndpointListResponse parse(String body) {
        JsonFields fields = JsonFields.parse(body);
        List<Backend> backends = EndpointCodec.read(fields.objects("endpoints"));
        long index = fields.serial("index");
        return new EndpointListResponse(index, fields.flag("snapshot"), backends);
    }
}
