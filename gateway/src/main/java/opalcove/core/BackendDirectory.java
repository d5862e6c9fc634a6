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
    private final SlowStartTimes starts = new SlowStartTimes();
    private final BackendTransport transport;
    private final ConfigGenerations generations;
    private final TurnQueue turns;
    private final Counters counters;
    private final Metrics metrics;

    BackendDirectory(CoreParts parts) {
        clock = parts.clock();
        endpoints = parts.endpoints();
        transport = parts.transport();
        generations = parts.generations();
        turns = parts.turns();
        counters = parts.counters();
        metrics = parts.metrics();
    }

    /**
     * Applies the complete list or its changed entries.
     *
     * @param sourceNowMs the time of the source's own clock when it sent the list, Unix ms, or 0 if it is not known
     */
    void endpointsChanged(boolean complete, List<Backend> entries, double sourceNowMs) {
        endpoints.update(complete, entries).forEach(transport::retire);
        int implausible = starts.implausibleStarts();
        List<Endpoint> local = starts.update(complete, entries, clock.now(), sourceNowMs);
        if (starts.implausibleStarts() > implausible) {
            counters.implausibleStartTimes += starts.implausibleStarts() - implausible;
            Logger.warn(
                    "the start times of {} backends are impossible by this machine's clock; they count as started now",
                    starts.implausibleStarts() - implausible);
        }
        for (ConfigGeneration each : generations.inUse()) {
            turns.run(() -> each.module.endpointsChanged(clock.now(), complete, local));
        }
        countAvoided();
    }

    /** Sends the current complete list to the module of a new generation. */
    void introduceTo(ConfigGeneration generation) {
        List<Endpoint> local = starts.localEndpoints(endpoints.all());
        turns.run(() -> generation.module.endpointsChanged(clock.now(), true, local));
    }

    /** Records that the endpoint source was reached, with or without changes. */
    void sourceContacted() {
        starts.sourceContacted(clock.now());
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
    void countAvoided() {
        turns.run(this::updateAvoided);
    }

    private void updateAvoided() {
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
