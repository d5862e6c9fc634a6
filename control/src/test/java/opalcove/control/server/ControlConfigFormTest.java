package opalcove.control.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the keys of the settings file, their defaults, and the literal error messages for invalid values. */
public class ControlConfigFormTest {
    private static final Path VALID_FILE = Path.of("deploy/control.json");
    /** Reported after any invalid cluster: no cluster is known then, so the cluster of the listener is not found. */
    private static final String UNKNOWN_CLUSTER = "\nfield listeners[0].cluster is not among the clusters: swaps";

    @DataProvider
    public Object[][] invalidFiles() {
        return new Object[][] {
            {"\"listen\": \"127.0.0.1:18000\"", "\"listen\": 5", "field listen must be a text"},
            {"\"listen\": \"127.0.0.1:18000\", ", "", "field listen is missing"},
            {"127.0.0.1:18001", "10.0.0.1:18001", "field status must be a loopback address, not 10.0.0.1"},
            {"127.0.0.1:18001", "127.0.0.1", "field status must be an address and a port, not 127.0.0.1"},
            {"\"status\": \"127.0.0.1:18001\", ", "", "field status is missing"},
            {"\"nodes\": \"control-nodes.json\", ", "", "field nodes is missing"},
            {"\"name\": \"control-1\"", "\"name\": 1", "field name must be a text"},
            {"\"most_shrink\": 0.5", "\"most_shrink\": 1.5", "field most_shrink must be from 0 to 1"},
            {"\"most_shrink\": 0.5", "\"most_shrink\": \"x\"", "field most_shrink must be a number"},
            {"\"admit\": []", "\"admit\": [1]", "field admit must hold texts"},
            {"\"admit\": []", "\"admit\": \"x\"", "field admit must be a list"},
            {"\"admit\"", "\"admits\"", "field admits is not known here"},
            {"\"clusters\": [{\"name\": \"swaps\"}],", "", "field clusters is missing" + UNKNOWN_CLUSTER},
            {"[{\"name\": \"swaps\"}]", "[]", "field clusters names no cluster" + UNKNOWN_CLUSTER},
            {
                "[{\"name\": \"swaps\"}]",
                "[{\"name\": \"swaps\"}, {\"name\": \"\"}]",
                "field clusters[1].name is empty or there twice: " + UNKNOWN_CLUSTER
            },
            {
                "{\"name\": \"swaps\"}]",
                "{\"name\": \"swaps\", \"lease_ms\": 999}]",
                "field clusters[0].lease_ms must be 0 or at least 1000" + UNKNOWN_CLUSTER
            },
            {
                "{\"name\": \"swaps\"}]",
                "{\"name\": \"swaps\", \"pods\": [\"x\"]}]",
                "field clusters[0].pods must hold numbers" + UNKNOWN_CLUSTER
            },
            {
                "{\"name\": \"swaps\"}]",
                "{\"name\": \"swaps\", \"kinds\": [1]}]",
                "field clusters[0].kinds must hold texts" + UNKNOWN_CLUSTER
            },
            {
                "\"cluster\": \"swaps\"",
                "\"cluster\": \"none\"",
                "field listeners[0].cluster is not among the clusters: none"
            },
            {"\"cluster\": \"swaps\"", "\"clusters\": \"swaps\"", "field listeners[0].cluster is missing"},
            {"\"may_probe\": false", "\"may_probe\": 1", "field settings.ceilings.may_probe must be true or false"},
            {"{\"name\": \"control-1\"", "{\"name", "malformed JSON: Expected ':' at 1:10"},
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void rejectsInvalidFileWithFileKeyAndReason(String valid, String invalid, String problem) throws Exception {
        String text = Files.readString(VALID_FILE);
        assertEquals(text.contains(valid), true, valid);
        Path file = Files.createTempFile("control", ".json");
        try {
            Files.writeString(file, text.replace(valid, invalid));
            assertEquals(
                    expectThrows(InvalidConfigurationException.class, () -> ControlConfig.read(file))
                            .getMessage()
                            .replace(file + ": ", ""),
                    problem);
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void namesFileThatCannotBeRead() {
        assertEquals(
                expectThrows(InvalidConfigurationException.class, () -> ControlConfig.read(Path.of("deploy/none.json")))
                        .getMessage(),
                "cannot read deploy/none.json: deploy/none.json");
    }

    @Test
    public void usesDefaultsForAbsentFields() throws Exception {
        Path file = Files.createTempFile("control", ".json");
        try {
            Files.writeString(
                    file,
                    Files.readString(VALID_FILE)
                            .replace("\"name\": \"control-1\", ", "")
                            .replace("\"most_shrink\": 0.5,", "")
                            .replace("\"admit\": [],", "")
                            .replace("\"listeners\": [{\"name\": \"swaps\", \"cluster\": \"swaps\"}],", ""));
            ControlConfig settings = ControlConfig.read(file);
            assertEquals(settings.name(), "control");
            assertEquals(settings.listen(), new HostAndPort("127.0.0.1", 18000));
            assertEquals(settings.status(), new HostAndPort("127.0.0.1", 18001));
            assertEquals(settings.endpointFile(), file.resolveSibling("control-nodes.json"));
            assertEquals(settings.admittedClusters(), Set.of());
            assertEquals(settings.listeners(), List.of());
            assertEquals(settings.clusters().size(), 1);
            assertEquals(settings.clusters().get(0).name(), "swaps");
            assertEquals(settings.clusters().get(0).leaseMs(), 0);
        } finally {
            Files.delete(file);
        }
    }
}
