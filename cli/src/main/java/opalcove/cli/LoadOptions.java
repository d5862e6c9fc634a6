package opalcove.cli;

import opalcove.config.InvalidConfigurationException;
import opalcove.laboratory.LoadPlan;
import picocli.CommandLine.Option;

/** What a load asks, for all commands that put one on. */
final class LoadOptions {
    @Option(names = "--mqtt", description = "send requests over MQTT 5 instead of RESP2")
    private boolean mqtt;

    @Option(names = "--connections", paramLabel = "N", defaultValue = "1", description = "(default: ${DEFAULT-VALUE})")
    private int connections;

    @Option(
            names = "--depth",
            paramLabel = "N",
            defaultValue = "16",
            description = "requests in flight on each connection, in a" + " closed loop (default: ${DEFAULT-VALUE})")
    private int depth;

    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "0",
            description = "open loop: requests a second in all, sent" + " when they are due; 0 is a closed loop")
    private double rate;

    @Option(names = "--asks", paramLabel = "N", defaultValue = "12000", description = "(default: ${DEFAULT-VALUE})")
    private int requests;

    @Option(names = "--operators", paramLabel = "N", defaultValue = "40", description = "(default: ${DEFAULT-VALUE})")
    private int tenants;

    @Option(
            names = "--records",
            paramLabel = "SHARE",
            defaultValue = "0",
            description = "share of swap records, which" + " carry a body (default: ${DEFAULT-VALUE})")
    private double records;

    @Option(names = "--body", paramLabel = "BYTES", defaultValue = "16", description = "(default: ${DEFAULT-VALUE})")
    private int body;

    @Option(
            names = "--wait",
            paramLabel = "MS",
            defaultValue = "7500",
            description = "how long a client waits" + " (default: ${DEFAULT-VALUE})")
    private int waitMs;

    LoadPlan plan(String host, int port) {
        try {
            return new LoadPlan(mqtt, host, port, connections, depth, rate, requests, tenants, records, body, waitMs);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigurationException(e.getMessage());
        }
    }
}
