package opalcove.core;

import java.util.function.Function;
import opalcove.decision.AdmissionController;
import opalcove.decision.DecisionActions;
import opalcove.decision.DecisionSettings;

/**
 * One set of settings, the validator of requests by them and a decision module that decides by them. Each request stays
 * with the generation that it was accepted under, and so keeps its class; new requests go to the newest.
 */
final class ConfigGeneration {
    final DecisionSettings settings;
    final RequestValidator validator;
    final AdmissionController module;
    /** Requests accepted under it that are not closed yet. */
    int openRequests;

    /** A generation whose module acts by what {@code actions} makes for it. */
    ConfigGeneration(
            DecisionSettings settings, double nowMs, long seed, Function<ConfigGeneration, DecisionActions> actions) {
        this.settings = settings;
        validator = new RequestValidator(settings);
        module = new AdmissionController(nowMs, settings, seed, actions.apply(this));
    }
}
