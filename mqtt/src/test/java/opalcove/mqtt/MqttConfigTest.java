package opalcove.mqtt;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class MqttConfigTest {
    private static final Path VALID_FILE = Path.of("deploy/mqtt.json");

    @Test
    public void acceptsFileInDeploy() {
        MqttConfig settings = MqttConfig.read(VALID_FILE);
        assertEquals(settings.listen(), new HostAndPort("127.0.0.1", 1883));
        assertEquals(settings.backends().size(), 2);
        assertEquals(settings.settings().classes().size(), 3);
    }

    @DataProvider
    public Object[][] invalidFiles() {
        return new Object[][] {
            {"127.0.0.1:1883", "nowhere", "field listen must be an address and a port, not nowhere"},
            {"127.0.0.1:1883", "127.0.0.1:70000", "field listen must be an address and a port, not 127.0.0.1:70000"},
            {"127.0.0.1:1890", "10.0.0.1:1890", "field control must be a loopback address, not 10.0.0.1"},
            {"\"max_terminals\": 200", "\"max_terminals\": 0", "field max_terminals must be from 1 to 400"},
            {"\"max_terminals\": 200", "\"max_terminals\": \"x\"", "field max_terminals must be a number"},
            {"\"max_terminals\"", "\"most_terminals\"", "field most_terminals is not known here"},
            {"\"app-2\"", "\"app-1\"", "field nodes[1].name is a duplicate: app-1"},
            {"mqtt://127.0.0.1:1885", "tcp://x", "field nodes[1].address must be an address and a port, not tcp://x"},
            {"\"type\": \"std-3\"", "\"status\": \"odd\"", "field nodes[0].status has an unknown value odd"},
            {
                "\"idempotency\": \"keyed\"",
                "\"idempotency\": \"twice\"",
                "field settings.profiles[2].idempotency has an unknown value twice"
            },
            {
                "\"quota_rate\": 1.7",
                "\"quota_rate\": -1.7",
                "field settings.tiers_of_service[0].quota_rate must be a finite number not below 0"
            },
            {"\"ceilings\"", "\"limits\"", "field settings.ceilings is missing"},
            {"{\"name\"", "{\"name", "malformed JSON: Expected ':' at 1:10"},
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void rejectsInvalidFileWithKeyAndReason(String validText, String invalidText, String expectedMessage)
            throws IOException {
        assertEquals(problems(validText, invalidText), expectedMessage);
    }

    @Test
    public void reportsAllProblemsOfFile() throws IOException {
        assertEquals(problems("\"listen\"", "\"port\"").lines().toList().size(), 2);
    }

    private static String problems(String validText, String invalidText) throws IOException {
        Path file = Files.createTempFile("mqtt", ".json");
        try {
            Files.writeString(file, Files.readString(VALID_FILE).replace(validText, invalidText));
            String message = expectThrows(InvalidConfigurationException.class, () -> MqttConfig.read(file))
                    .getMessage();
            return message.replace(file + ": ", "");
        } finally {
            Files.delete(file);
        }
    }
}
