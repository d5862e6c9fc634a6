package opalcove.config;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import opalcove.decision.DecisionSettings;
import opalcove.membership.Member;

/**
 * Settings and node list by versions on which the gateways agree. Off without the section {@code agreement}; a program that
 * has no part for it (the platform's) refuses that section.
 */
public interface ReplicatedConfig {
    /**
     * What to act on; nodes is null where the list stays discovery's; strict: only what cannot contradict others is in it;
     * coldSinceMs: no node counts as started before it, Unix ms, 0 where the list's word holds.
     */
    record EffectiveConfig(
            long version, DecisionSettings settings, List<Backend> backends, boolean strict, long coldSinceMs) {}

    /** Makes the part of this process; found by the service loader. */
    interface Provider {
        /** own: an event loop of its own; settings: those of the file, of which what is this gateway's alone stays. */
        ReplicatedConfig make(
                Vertx own, String name, JsonFields section, DecisionSettings settings, Consumer<String> events);
    }

    /** Members known from before the start, to be called; empty where nothing is. */
    List<Member> known();

    /**
     * Begins; done once clients may be taken: the others have said which version is in force, or that there is none, and, where
     * the fleet lost its power, how they came back. act: on any thread; fleet: the gateways that are there, this one among them.
     */
    Future<Void> start(Consumer<EffectiveConfig> act, Supplier<List<Member>> fleet);

    /** The process ends well. */
    void leave();

    /** What to act on where a confirmed version has lapsed and was not yet told so; null else. For any thread. */
    EffectiveConfig lapsed();

    /** The figures, a line each. For any thread. */
    String lines();
}
