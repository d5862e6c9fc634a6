package opalcove.core;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import opalcove.config.Backend;
import opalcove.config.Clock;
import opalcove.decision.CapacityShare;
import opalcove.decision.Endpoint;
import opalcove.metrics.Counters;
import opalcove.metrics.Metrics;
import org.tinylog.Logger;

/**
 * Applies the endpoint list and its changes, and forwards them to the transport, the decision modules and the metrics.
 * Used on the event loop only.
 */
final class BackendDirectory {
    private final Clock clock;
    private final EndpointList endpoints;
    private final SlowStartTimes startTimes = new SlowStartTimes();
    private final BackendTransport transport;
    private final ConfigGenerations generations;
    private final SerialTaskQueue tasks;
    private final Counters counters;
    private final Metrics metrics;

    BackendDirectory(CoreContext context) {
        clock = context.clock();
        endpoints = context.endpoints();
        transport = context.transport();
        generations = context.generations();
        tasks = context.tasks();
        counters = context.counters();
        metrics = context.metrics();
    }

    /**
     * Applies the complete list or its changed entries.
     *
     * @param sourceNowMs the time of the source's own clock when it sent the list, Unix ms, or 0 if it is not known
     */
    void endpointsChanged(boolean complete, List<Backend> entries, double sourceNowMs) {
        endpoints.update(complete, entries).forEach(transport::retire);
        int implausibleBefore = startTimes.implausibleStarts();
        List<Endpoint> localEndpoints = startTimes.update(complete, entries, clock.now(), sourceNowMs);
        if (startTimes.implausibleStarts() > implausibleBefore) {
            counters.implausibleStartTimes += startTimes.implausibleStarts() - implausibleBefore;
            Logger.warn(
                    "the start times of {} backends are impossible by this machine's clock; they count as started now",
                    startTimes.implausibleStarts() - implausibleBefore);
        }
        for (ConfigGeneration each : generations.inUse()) {
            tasks.run(() -> each.module.endpointsChanged(clock.now(), complete, localEndpoints));
        }
        updateAvoidedBackends();
    }

    /** Sends the current complete list to the module of a new generation. */
    void sendCompleteListTo(ConfigGeneration generation) {
        List<Endpoint> localEndpoints = startTimes.localEndpoints(endpoints.all());
        tasks.run(() -> generation.module.endpointsChanged(clock.now(), true, localEndpoints));
    }

    /** Records that the endpoint source was reached, with or without changes. */
    void sourceContacted() {
        startTimes.sourceContacted(clock.now());
    }

    /** Returns all backends in the list. */
    List<Backend> all() {
        return endpoints.all();
    }

    /** Returns the capacity share that the newest module would assign to each backend now. */
    List<CapacityShare> capacityShares() {
        return generations.newest().module.capacityShares(clock.now());
    }

    /** Updates the metrics of listed backends and of those that get no new requests now, for any reason. */
    void updateAvoidedBackends() {
        tasks.run(this::computeAvoidedBackends);
    }

    private void computeAvoidedBackends() {
        Set<String> used = new HashSet<>();
        for (CapacityShare each : capacityShares()) {
            if (each.share() > 0) {
                used.add(each.backend());
            }
        }
        List<Backend> listed = endpoints.all();
        metrics.backends(listed.size(), (int) listed.stream()
                .filter(backend -> !used.contains(backend.name()))
                .count());
    }
}
