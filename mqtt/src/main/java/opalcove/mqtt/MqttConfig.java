package opalcove.mqtt;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import opalcove.config.Backend;
import opalcove.config.ConfigValidator;
import opalcove.config.EndpointCodec;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.decision.DecisionSettings;

/**
 * The settings file of the MQTT gateway, which is validated completely before any port is opened.
 *
 * @param name the prefix of the client identifiers of backend connections
 * @param listen the address that accepts client connections
 * @param control the address of the plan control service; null if there is none
 * @param maxClients the maximum number of client connections
 * @param maxBackendConnections the maximum number of backend connections
 * @param backends the endpoint list at the start of the gateway
 * @param settings the settings of the deployment
 */
public record MqttConfig(
        String name,
        HostAndPort listen,
        HostAndPort control,
        int maxClients,
        int maxBackendConnections,
        List<Backend> backends,
        DecisionSettings settings) {
    private static final int DEFAULT_MAX_CONNECTIONS = 200;
    private static final int MAX_CONNECTIONS = 400;
    private static final Set<String> KEYS =
            Set.of("name", "listen", "max_terminals", "max_node_links", "nodes", "control", "settings");

    /**
     * Reads and validates the file.
     *
     * @throws InvalidConfigurationException if the file is invalid; its message contains each problem with file, key and
     *     reason
     */
    public static MqttConfig read(Path file) {
        ConfigValidator validator = new ConfigValidator(file);
        JsonFields fields = validator.fields(KEYS);
        String name = validator.valueOr(() -> fields.textOr("name", "opalcove"), "");
        HostAndPort listen = validator.valueOr(() -> HostAndPort.parse(fields.text("listen"), "listen"), null);
        HostAndPort control = validator.valueOr(() -> control(fields), null);
        int maxClients = validator.valueOr(() -> maxConnections(fields, "max_terminals"), 0);
        int maxBackendConnections = validator.valueOr(() -> maxConnections(fields, "max_node_links"), 0);
        List<Backend> backends = validator.valueOr(() -> backends(fields), List.of());
        DecisionSettings settings = validator.valueOr(() -> SettingsReader.read(fields.object("settings")), null);
        validator.throwIfInvalid();
        return new MqttConfig(name, listen, control, maxClients, maxBackendConnections, backends, settings);
    }

    /** Reads the address of the plan control service, which must be local since plans are accepted without credentials. */
    private static HostAndPort control(JsonFields fields) {
        if (!fields.has("control")) {
            return null;
        }
        HostAndPort control = HostAndPort.parse(fields.text("control"), "control");
        if (!control.address().startsWith("127.")) {
            throw new InvalidConfigurationException(
                    "field control must be a loopback address, not " + control.address());
        }
        return control;
    }

    private static int maxConnections(JsonFields fields, String key) {
        int value = fields.integerOr(key, DEFAULT_MAX_CONNECTIONS);
        if (value < 1 || value > MAX_CONNECTIONS) {
            throw new InvalidConfigurationException("field " + key + " must be from 1 to " + MAX_CONNECTIONS);
        }
        return value;
    }

    private static List<Backend> backends(JsonFields fields) {
        List<Backend> backends = EndpointCodec.read(fields.objects("nodes"));
        Set<String> names = new HashSet<>();
        for (int i = 0; i < backends.size(); i++) {
            String key = "nodes[" + i + "]";
            Backend backend = backends.get(i);
            if (!names.add(backend.name())) {
                throw new InvalidConfigurationException("field " + key + ".name is a duplicate: " + backend.name());
            }
            String address = backend.address();
            HostAndPort.parse(
                    address.startsWith(MqttConnector.SCHEME)
                            ? address.substring(MqttConnector.SCHEME.length())
                            : address,
                    key + ".address");
        }
        if (backends.isEmpty()) {
            throw new InvalidConfigurationException("field nodes must contain at least one backend");
        }
        return backends;
    }
}
