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

/** Tests the keys of the MQTT gateway's settings file that {@link MqttConfigTest} does not cover, and their defaults. */
public class MqttConfigFormTest {
    private static final Path VALID_FILE = Path.of("deploy/mqtt.json");

    @DataProvider
    public Object[][] invalidFiles() {
        return new Object[][] {
            {"\"name\": \"opalcove-mqtt\"", "\"name\": 1", "field name must be a text"},
            {"\"listen\": \"127.0.0.1:1883\", ", "", "field listen is missing"},
            {"127.0.0.1:1890", "x", "field control must be an address and a port, not x"},
            {"\"max_terminals\": 200", "\"max_terminals\": 401", "field max_terminals must be from 1 to 400"},
            {"\"max_node_links\": 200", "\"max_node_links\": 0", "field max_node_links must be from 1 to 400"},
            {"\"max_node_links\": 200", "\"max_node_links\": 401", "field max_node_links must be from 1 to 400"},
            {"\"max_node_links\": 200", "\"max_node_links\": 1.5", "field max_node_links must be a whole number"},
            {
                "\"nodes\": [",
                "\"nodes\": [], \"node\": [",
                "field node is not known here\nfield nodes must contain at least one backend"
            },
            {"\"nodes\": [", "\"node\": [", "field node is not known here\nfield nodes is missing"},
            {"mqtt://127.0.0.1:1884", "mqtt://x", "field nodes[0].address must be an address and a port, not x"},
            {"\"name\": \"app-2\", ", "", "field nodes[1].name is missing"},
            {"\"settings\"", "\"setting\"", "field setting is not known here\nfield settings is missing"},
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void rejectsInvalidFileWithKeyAndReason(String validText, String invalidText, String expectedMessage)
            throws Exception {
        String text = Files.readString(VALID_FILE);
        assertTrue(text.contains(validText), validText);
        Path file = Files.createTempFile("mqtt", ".json");
        try {
            Files.writeString(file, text.replace(validText, invalidText));
            assertEquals(
                    expectThrows(InvalidConfigurationException.class, () -> MqttConfig.read(file))
                            .getMessage()
                            .replace(file + ": ", ""),
                    expectedMessage);
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void usesDefaultsForAbsentKeys() throws Exception {
        Path file = Files.createTempFile("mqtt", ".json");
        try {
            Files.writeString(
                    file,
                    Files.readString(VALID_FILE)
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
