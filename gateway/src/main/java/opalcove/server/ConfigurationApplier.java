package opalcove.server;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.Supplier;
import opalcove.config.Backend;
import opalcove.config.ReplicatedConfig;
import opalcove.core.RequestDispatcher;
import opalcove.discovery.DiscoveryClient;
import opalcove.membership.Member;
import org.tinylog.Logger;

/**
 * Applies configuration to the gateway: the replicated version in force or, if there is none, the gateway's own file
 * and the list from discovery. Owned by the gateway's event loop.
 */
final class ConfigurationApplier implements DiscoveryClient.Listener {
    /** The longest wait at the start for a voter to report the version in force. */
    private static final long FIRST_VERSION_TIMEOUT_MS = 12_000;

    private final RequestDispatcher dispatcher;
    /** The replicated configuration in force, or null. */
    private ReplicatedConfig.EffectiveConfig inForce;

    ConfigurationApplier(RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /**
     * Applies the replicated configuration from now on. The future completes once the version in force is known, or
     * after the time limit for it; clients are then accepted without a replicated version.
     */
    Future<Void> follow(Vertx vertx, ReplicatedConfig replicated, Supplier<List<Member>> presentMembers) {
        dispatcher.beforeEachRequest(() -> {
            ReplicatedConfig.EffectiveConfig expired = replicated.effectiveIfExpired();
            if (expired != null && inForce != null && !inForce.isStrict()) {
                apply(expired);
            }
        });
        Promise<Void> known = Promise.promise();
        replicated
                .start(config -> vertx.runOnContext(run -> apply(config)), presentMembers)
                .onFailure(e -> {
                    Logger.error("cannot listen at agreement.listen: {}", e.getMessage());
                    Runtime.getRuntime().halt(1);
                })
                .onSuccess(started -> vertx.runOnContext(run -> known.tryComplete()));
        vertx.setTimer(FIRST_VERSION_TIMEOUT_MS, due -> {
            if (known.tryComplete()) {
                Logger.error(
                        "no voter has reported the version in force: serving clients with the settings of the file");
            }
        });
        return known.future();
    }

    private void apply(ReplicatedConfig.EffectiveConfig config) {
        boolean restartsSlowStart = config.startedNotBeforeMs() > 0
                && (inForce == null || inForce.startedNotBeforeMs() != config.startedNotBeforeMs());
        inForce = config;
        dispatcher.applySettings(config.settings());
        if (config.backends() != null) {
            dispatcher.endpointsChanged(true, withStartTimes(config.backends()));
        } else if (restartsSlowStart) {
            dispatcher.endpointsChanged(true, withStartTimes(dispatcher.backends()));
        }
    }

    /**
     * Raises the start times to the minimum in force: after a power loss the list may hold start times from before it.
     */
    private List<Backend> withStartTimes(List<Backend> backends) {
        if (inForce == null || inForce.startedNotBeforeMs() == 0) {
            return backends;
        }
        return backends.stream()
                .map(backend -> new Backend(
                        backend.endpoint().withMinStartedMs(inForce.startedNotBeforeMs()), backend.address()))
                .toList();
    }

    /** Applies discovery's list unless the replicated version in force has a list. */
    @Override
    public void endpointsReceived(boolean isComplete, List<Backend> backends, double discoveryNowMs) {
        if (inForce == null || inForce.backends() == null) {
            dispatcher.endpointsChanged(isComplete, withStartTimes(backends), discoveryNowMs);
        }
    }

    @Override
    public void responseReceived() {
        dispatcher.endpointSourceContacted();
    }

    @Override
    public void callFailed(boolean isInvalid) {
        dispatcher.endpointUpdateFailed(isInvalid);
    }

    /** Returns whether a replicated version is in force, and not the settings of the file. */
    boolean hasReplicatedVersion() {
        return inForce != null;
    }
}
