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

/** The settings file of the MQTT front, checked whole before anything opens. */
public record MqttConfig(
        String name,
        HostAndPort listen,
        HostAndPort control,
        int maxClients,
        int mostLinks,
        List<Backend> backends,
        DecisionSettings settings) {
    private static final Set<String> KEYS =
            Set.of("name", "listen", "max_terminals", "max_node_links", "nodes", "control", "settings");

    /** Reads and checks the file; a wrong one is refused with every problem found, each by file, key and reason. */
    public static MqttConfig read(Path file) {
        ConfigValidator check = new ConfigValidator(file);
        JsonFields fields = check.fields(KEYS);
        String name = check.valueOr(() -> fields.textOr("name", "opalcove"), "");
        HostAndPort listen = check.valueOr(() -> HostAndPort.parse(fields.text("listen"), "listen"), null);
        HostAndPort control = check.valueOr(() -> control(fields), null);
        int clients = check.valueOr(() -> between(fields, "max_terminals", 200), 0);
        int links = check.valueOr(() -> between(fields, "max_node_links", 200), 0);
        List<Backend> backends = check.valueOr(() -> backends(fields), List.of());
        DecisionSettings settings = check.valueOr(() -> SettingsReader.read(fields.object("settings")), null);
        check.throwIfInvalid();
        return new MqttConfig(name, listen, control, clients, links, backends, settings);
    }

    /** Where plans are taken; it asks for no credentials, so it may be reached from this machine alone. */
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

    private static int between(JsonFields fields, String key, int absent) {
        int value = fields.wholeOr(key, absent);
        if (value < 1 || value > 400) {
            throw new InvalidConfigurationException("field " + key + " must be from 1 to 400");
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
                throw new InvalidConfigurationException("field " + key + ".name is there twice: " + backend.name());
            }
            String address = backend.address();
            HostAndPort.parse(
                    address.startsWith(MqttConnector.SCHEME)
                            ? address.substring(MqttConnector.SCHEME.length())
                            : address,
                    key + ".address");
        }
        if (backends.isEmpty()) {
            throw new InvalidConfigurationException("field nodes names no app node");
        }
        return backends;
    }
}
