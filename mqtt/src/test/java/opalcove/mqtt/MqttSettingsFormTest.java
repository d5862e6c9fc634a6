package opalcove.mqtt;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Keys of the MQTT front's settings file that {@link MqttConfigTest} leaves out, and their defaults. */
public class MqttSettingsFormTest {
    private static final Path GOOD = Path.of("deploy/mqtt.json");

    @DataProvider
    public Object[][] wrongs() {
        return new Object[][] {
            {"\"name\": \"opalcove-mqtt\"", "\"name\": 1", "field name must be a text"},
            {"\"listen\": \"127.0.0.1:1883\", ", "", "field listen is missing"},
            {"127.0.0.1:1890", "x", "field control must be an address and a port, not x"},
            {"\"max_terminals\": 200", "\"max_terminals\": 401", "field max_terminals must be from 1 to 400"},
            {"\"max_node_links\": 200", "\"max_node_links\": 0", "field max_node_links must be from 1 to 400"},
            {"\"max_node_links\": 200", "\"max_node_links\": 401", "field max_node_links must be from 1 to 400"},
            {"\"max_node_links\": 200", "\"max_node_links\": 1.5", "field max_node_links must be a whole number"},
            {"\"nodes\": [", "\"nodes\": [], \"node\": [", "field node is not known here\nfield nodes names no app node"
            },
            {"\"nodes\": [", "\"node\": [", "field node is not known here\nfield nodes is missing"},
            {"mqtt://127.0.0.1:1884", "mqtt://x", "field nodes[0].address must be an address and a port, not x"},
            {"\"name\": \"app-2\", ", "", "field nodes[1].name is missing"},
            {"\"settings\"", "\"setting\"", "field setting is not known here\nfield settings is missing"},
        };
    }

    @Test(dataProvider = "wrongs")
    public void aWrongFileIsRefusedWithFileKeyAndReason(String good, String wrong, String problem) throws Exception {
        String text = Files.readString(GOOD);
        assertTrue(text.contains(good), good);
        Path file = Files.createTempFile("mqtt", ".json");
        try {
            Files.writeString(file, text.replace(good, wrong));
            assertEquals(
                    expectThrows(InvalidConfigurationException.class, () -> MqttConfig.read(file))
                            .getMessage()
                            .replace(file + ": ", ""),
                    problem);
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void whatIsAbsentHasItsDefault() throws Exception {
        Path file = Files.createTempFile("mqtt", ".json");
        try {
            Files.writeString(
                    file,
                    Files.readString(GOOD)
                            .replace("\"name\": \"opalcove-mqtt\", ", "")
                            .replace("\"control\": \"127.0.0.1:1890\", ", "")
                            .replace("\"max_terminals\": 200, \"max_node_links\": 200,", ""));
            MqttConfig settings = MqttConfig.read(file);
            assertEquals(settings.name(), "opalcove");
            assertEquals(settings.listen(), new HostAndPort("127.0.0.1", 1883));
            assertNull(settings.control());
            assertEquals(settings.maxClients(), 200);
            assertEquals(settings.maxBackendConnections(), 200);
            assertEquals(settings.backends().get(0).address(), "mqtt://127.0.0.1:1884");
        } finally {
            Files.delete(file);
        }
    }
}
