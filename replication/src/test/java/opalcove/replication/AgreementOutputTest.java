package opalcove.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import opalcove.TestSettings;
import opalcove.config.HostAndPort;
import opalcove.config.JsonFields;
import opalcove.config.ReplicatedConfig;
import opalcove.configlease.VersionLog;
import org.testng.annotations.Test;

/** Tests the figures and events of the replicated configuration, which other programs read. */
public class AgreementOutputTest {
    private static final long TIMEOUT_NS = TimeUnit.SECONDS.toNanos(60);

    private static void await(Object description, BooleanSupplier condition) throws InterruptedException {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - start < TIMEOUT_NS, description.toString());
            Thread.sleep(10);
        }
    }

    private static int freePort() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            return socket.getLocalPort();
        }
    }

    private static ReplicatedConfig createService(Vertx vertx, int port, Path folder, List<String> events) {
        String section =
                """
                {"listen":"127.0.0.1:%d","voters":[{"name":"g1","address":"127.0.0.1:%d"}],
                 "state_file":"%s/state","snapshot_file":"%s/snapshot","events":true}"""
                        .formatted(port, port, folder, folder);
        return new ReplicatedConfigService.ServiceProvider()
                .create(vertx, "g1", JsonFields.parse(section), TestSettings.settings(), events::add);
    }

    private static List<String> figureKeys(ReplicatedConfig service) {
        return service.figures()
                .lines()
                .map(line -> line.replaceFirst(":-?\\d+\\|", "|"))
                .toList();
    }

    private static List<String> normalize(List<String> events, Path folder) {
        return events.stream()
                .map(each -> each.replaceAll("(_ms\":)\\d{13}", "$10").replace(folder.toString(), "FOLDER"))
                .toList();
    }

    @Test
    public void writesVoterFiguresAndEventsInFixedFormat() throws Exception {
        Vertx vertx = Vertx.vertx();
        Path folder = Files.createTempDirectory("agreement");
        try {
            int port = freePort();
            List<String> events = new CopyOnWriteArrayList<>();
            ReplicatedConfig service = createService(vertx, port, folder, events);
            service.start(effective -> {}, List::of).await(1, TimeUnit.MINUTES);
            ReplicationClient client =
                    new ReplicationClient(List.of(HostAndPort.parse("127.0.0.1:" + port, "address")), 60_000);
            VersionLog.Outcome outcome = client.propose(0, "ops", "{\"settings\":" + TestSettings.JSON + "}");
            assertEquals(outcome, new VersionLog.Outcome(true, 1, ""));
            String actingEvent = "{\"event\":\"acting\",\"version\":1,\"mode\":\"FULL\",\"nodes\":-1,\"ended_ms\":0,"
                    + "\"at_ms\":0,\"observer\":\"g1\"}";
            await(events, () -> normalize(events, folder).contains(actingEvent));
            await(events, () -> events.toString().contains("\"phase\":\"FULL\""));
            await(events, () -> events.toString().contains("\"snapshot\""));
            assertEquals(
                    figureKeys(service),
                    List.of(
                            "agreement.version|g",
                            "agreement.behind|g",
                            "agreement.voter|g",
                            "agreement.leader|g",
                            "agreement.voter_restarts|c",
                            "agreement.state_refused|c",
                            "agreement.asked|c",
                            "agreement.confirmed|c",
                            "agreement.expired|c",
                            "agreement.adopted|c",
                            "agreement.unreadable|c",
                            "recovery.phase|g",
                            "recovery.snapshot_age_ms|g",
                            "recovery.trusted|g",
                            "recovery.refused|g",
                            "agreement.lease_left_ms|g"));
            String lines = service.figures();
            assertTrue(lines.startsWith("agreement.version:1|g\nagreement.behind:0|g\nagreement.voter:1|g\n"), lines);
            assertTrue(lines.contains("\nrecovery.phase:3|g\nrecovery.snapshot_age_ms:-1|g\n"), lines);
            List<String> normalizedEvents = normalize(events, folder);
            assertTrue(
                    normalizedEvents.contains("{\"event\":\"leads\",\"leads\":true,\"at_ms\":0,\"observer\":\"g1\"}"));
            assertTrue(normalizedEvents.contains("{\"event\":\"snapshot\",\"at_ms\":0,\"observer\":\"g1\"}"));
            String refused = "\"refused\":[\"the snapshot: FOLDER/snapshot: there is none\"]";
            assertEquals(
                    normalizedEvents.stream()
                            .filter(each -> each.contains("\"recovery\""))
                            .toList(),
                    List.of(
                            recoveryEvent("WAITING", refused, false),
                            recoveryEvent("RESTORING", refused, true),
                            recoveryEvent("FULL", refused, true)));
        } finally {
            vertx.close().await(1, TimeUnit.MINUTES);
        }
    }

    private static String recoveryEvent(String phase, String refused, boolean areBackendsWarmingUp) {
        return "{\"event\":\"recovery\",\"phase\":\"" + phase + "\"," + refused + ",\"cold\":" + areBackendsWarmingUp
                + ",\"at_ms\":0,\"observer\":\"g1\"}";
    }

    @Test
    public void reportsReasonWhenStateFileIsRejected() throws Exception {
        Vertx vertx = Vertx.vertx();
        Path folder = Files.createTempDirectory("agreement");
        try {
            Files.writeString(folder.resolve("state"), "nothing of this program");
            List<String> events = new CopyOnWriteArrayList<>();
            ReplicatedConfig service = createService(vertx, freePort(), folder, events);
            service.start(effective -> {}, List::of);
            await(events, () -> !events.isEmpty());
            assertEquals(
                    normalize(events, folder).get(0),
                    "{\"event\":\"state_refused\",\"reason\":\"FOLDER/state: it is no state of this program\","
                            + "\"at_ms\":0,\"observer\":\"g1\"}");
            await(service, () -> service.figures().contains("agreement.voter:0|g\n"));
            assertTrue(service.figures().contains("agreement.state_refused:1|c\n"), service.figures());
        } finally {
            vertx.close().await(1, TimeUnit.MINUTES);
        }
    }
}
