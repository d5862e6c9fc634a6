package opalcove.laboratory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Gateways of the real program, started at once while discovery is away. The stand-in answers no call before all are
 * ready, so that they become ready at all shows that their readiness does not hang on it, however slow the machine is.
 */
public class GatewayStartsTest {
    /** How many are started at once; thirty take 2 GB: {@code -Dstarts.gateways=30}. */
    private static final int GATEWAYS = Integer.getInteger("starts.gateways", 6);

    private static final List<String> GATEWAY = List.of(
            Meter.java(),
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx48m",
            "-cp",
            System.getProperty("java.class.path"),
            "opalcove.Main",
            "serve");

    @DataProvider
    public Object[][] outages() {
        return new Object[][] {{StartupBenchmark.Outage.SILENT}, {StartupBenchmark.Outage.REFUSED}};
    }

    @Test(dataProvider = "outages")
    public void allOpenOnTheirKnownListWhileDiscoveryIsAway(StartupBenchmark.Outage outage) throws Exception {
        try (StartupBenchmark rig = new StartupBenchmark(GATEWAY, outage)) {
            List<StartupBenchmark.Start> starts = rig.run(GATEWAYS);
            assertEquals(starts.size(), GATEWAYS);
            for (StartupBenchmark.Start each : starts) {
                assertTrue(each.phases().contains("FRONT_OPEN"), each.toString());
            }
        }
    }

    /** What a start can do without, told by the classes that were once loaded for it. */
    @Test
    public void aStartSetsUpNoSecondLoggingLibraryAndNoRandomSourceForFileNames() throws Exception {
        Path loaded = Files.createTempFile("loaded", ".log");
        try {
            List<String> command = new ArrayList<>(GATEWAY);
            command.add(1, "-Xlog:class+load:file=" + loaded);
            try (StartupBenchmark rig = new StartupBenchmark(command, StartupBenchmark.Outage.REFUSED)) {
                rig.run(1);
            }
            String classes = Files.readString(loaded);
            assertTrue(classes.contains("opalcove.server.GatewayServer "));
            for (String each : List.of(
                    "io.vertx.core.logging.JULLogDelegate ",
                    "io.netty.util.internal.logging.JdkLogger ",
                    "java.nio.file.TempFileHelper ")) {
                assertFalse(classes.contains(each), each + "was loaded");
            }
        } finally {
            Files.delete(loaded);
        }
    }
}
