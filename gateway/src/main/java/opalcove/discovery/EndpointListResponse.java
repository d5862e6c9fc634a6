package opalcove.discovery;

import java.util.List;
import opalcove.config.Backend;
import opalcove.config.EndpointCodec;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;

/**
 * The body of a response from discovery.
 *
 * @param index the version of the list
 * @param isComplete whether the backends are the complete list rather than the changed entries
 * @param backends the entries of the list
 */
record EndpointListResponse(long index, boolean isComplete, List<Backend> backends) {
    /**
     * Parses a body.
     *
     * @throws InvalidConfigurationException if the body is invalid; it names the path of the key
     */
    static EndpointListResponse parse(String body) {
        JsonFields fields = JsonFields.parse(body);
        List<Backend> backends = EndpointCodec.read(fields.objects("endpoints"));
        long index = fields.longInteger("index");
        return new EndpointListResponse(index, fields.flag("snapshot"), backends);
    }
}
