package opalcove.config;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import opalcove.decision.DecisionSettings;
import opalcove.membership.Member;

/**
 * Settings and endpoint list that the gateways agree on by versions. Off without the section {@code agreement}; a
 * program without a {@link Provider} rejects that section.
 */
public interface ReplicatedConfig {
    /**
     * What the gateway acts on.
     *
     * @param version the number of the version; 0 for none
     * @param settings the settings
     * @param backends the endpoint list; null if discovery has the list
     * @param isStrict whether only what cannot conflict with another version is in it
     * @param startedNotBeforeMs no backend counts as started before it, Unix ms; 0 if the start times in the list are in force
     */
    record EffectiveConfig(
            long version,
            DecisionSettings settings,
            List<Backend> backends,
            boolean isStrict,
            long startedNotBeforeMs) {}

    /** Creates the part of this process; found by the service loader. */
    interface Provider {
        /**
         * Creates the part.
         *
         * @param vertx an event loop of its own
         * @param section the section {@code agreement}
         * @param settings those of the configuration file, of which what concerns this gateway alone stays in force
         * @param events receives a JSON object for each event
         */
        ReplicatedConfig create(
                Vertx vertx, String name, JsonFields section, DecisionSettings settings, Consumer<String> events);
    }

    /** The members known from before the start, to be contacted; empty if none are. */
    List<Member> knownMembers();

    /**
     * Starts. Completes once clients may be accepted: when the voters have named the version in force, or that there is
     * none, and, if the fleet lost power, the recovery allows it.
     *
     * @param onEffectiveConfig called on any thread whenever what to act on has changed
     * @param presentMembers the gateways that are present, this one included
     */
    Future<Void> start(Consumer<EffectiveConfig> onEffectiveConfig, Supplier<List<Member>> presentMembers);

    /** Prepares for the graceful shutdown of the process. */
    void leave();

    /**
     * What to act on if the lease has expired and that was not yet notified; null otherwise. May be called on any
     * thread.
     */
    EffectiveConfig effectiveIfExpired();

    /** The figures, a line each, in the form of STATS. May be called on any thread. */
    String figures();
}
