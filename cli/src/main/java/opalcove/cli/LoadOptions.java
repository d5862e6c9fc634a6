package opalcove.cli;

import opalcove.config.InvalidConfigurationException;
import opalcove.laboratory.LoadPlan;
import picocli.CommandLine.Option;

/** The options that describe a load, for all commands that generate one. */
final class LoadOptions {
    @Option(names = "--mqtt", description = "send requests over MQTT 5 instead of RESP2")
    private boolean mqtt;

    @Option(
            names = "--connections",
            paramLabel = "N",
            defaultValue = "1",
            description = "client connections (default: ${DEFAULT-VALUE})")
    private int connections;

    @Option(
            names = "--depth",
            paramLabel = "N",
            defaultValue = "16",
            description = "requests in flight on each connection in a" + " closed loop (default: ${DEFAULT-VALUE})")
    private int depth;

    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "0",
            description = "open loop: requests per second in total, each sent"
                    + " at its scheduled time; 0 selects the closed loop")
    private double requestsPerSecond;

    @Option(
            names = "--asks",
            paramLabel = "N",
            defaultValue = "12000",
            description = "number of requests (default: ${DEFAULT-VALUE})")
    private int requests;

    @Option(
            names = "--operators",
            paramLabel = "N",
            defaultValue = "40",
            description = "number of tenants (default: ${DEFAULT-VALUE})")
    private int tenants;

    @Option(
            names = "--records",
            paramLabel = "SHARE",
            defaultValue = "0",
            description =
                    "share of requests that are swap records, which" + " carry a body (default: ${DEFAULT-VALUE})")
    private double recordShare;

    @Option(
            names = "--body",
            paramLabel = "BYTES",
            defaultValue = "16",
            description = "length of a body (default: ${DEFAULT-VALUE})")
    private int bodyBytes;

    @Option(
            names = "--wait",
            paramLabel = "MS",
            defaultValue = "7500",
            description = "how long a client waits for a response" + " (default: ${DEFAULT-VALUE})")
    private int waitMs;

    LoadPlan plan(String host, int port) {
        try {
            return new LoadPlan(
                    mqtt,
                    host,
                    port,
                    connections,
                    depth,
                    requestsPerSecond,
                    requests,
                    tenants,
                    recordShare,
                    bodyBytes,
                    waitMs);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigurationException(e.getMessage());
        }
    }
}
