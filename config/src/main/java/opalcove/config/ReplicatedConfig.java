package opalcove.config;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import opalcove.decision.DecisionSettings;
import opalcove.membership.Member;

/**
 * The replicated configuration: settings and an endpoint list, in numbered versions on which all gateways agree. It is
 * off unless the configuration file has the section {@code agreement}; a program without a {@link Provider} rejects
 * that section.
 */
public interface ReplicatedConfig {
    /**
     * The configuration that the gateway applies.
     *
     * @param version the number of the version; 0 if there is none
     * @param settings the settings in force
     * @param backends the endpoint list; null if the list comes from discovery
     * @param isStrict whether it holds only what cannot conflict with another version
     * @param startedNotBeforeMs the earliest time, in Unix ms, at which a backend counts as started; 0 if the start
     *     times of the list apply unchanged
     */
    record EffectiveConfig(
            long version,
            DecisionSettings settings,
            List<Backend> backends,
            boolean isStrict,
            long startedNotBeforeMs) {}

    /** Creates the replicated configuration of this process; loaded by {@link java.util.ServiceLoader}. */
    interface Provider {
        /**
         * Creates the replicated configuration; {@link #start} starts it.
         *
         * @param vertx an event loop that nothing else uses
         * @param name the name of this gateway
         * @param section the section {@code agreement}
         * @param settings the settings of the configuration file; those that concern only this gateway stay in force
         * @param events receives a JSON object for each event
         */
        ReplicatedConfig create(
                Vertx vertx, String name, JsonFields section, DecisionSettings settings, Consumer<String> events);
    }

    /** Returns the members that are known from before the start and are to be contacted; may be empty. */
    List<Member> knownMembers();

    /**
     * Starts to follow the versions. The future completes once clients may be accepted: the voters have reported the
     * version in force, or that there is none, and, if the fleet lost power, the recovery permits it.
     *
     * @param onEffectiveConfig called on any thread whenever the configuration to apply has changed
     * @param presentMembers supplies the gateways that are present, including this one
     */
    Future<Void> start(Consumer<EffectiveConfig> onEffectiveConfig, Supplier<List<Member>> presentMembers);

    /** Prepares for the graceful shutdown of the process. */
    void leave();

    /**
     * Returns the configuration to apply if the lease has expired and the callback of {@link #start} was not notified
     * of it yet; null otherwise. May be called on any thread.
     */
    EffectiveConfig effectiveIfExpired();

    /** Returns the metrics, one per line, in the format of the command STATS. May be called on any thread. */
    String figures();
}
