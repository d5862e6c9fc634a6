package opalcove.core;

import java.util.function.Function;
import opalcove.decision.AdmissionController;
import opalcove.decision.DecisionActions;
import opalcove.decision.DecisionSettings;

/**
 * One set of settings, with the request validator and the decision module that use it. Each request stays with the
 * generation under which it was accepted, and so keeps its class; new requests go to the newest generation.
 */
final class ConfigGeneration {
    final DecisionSettings settings;
    final RequestValidator validator;
    final AdmissionController module;
    /** How many requests accepted under this generation are still open. */
    int openRequests;

    /** Creates a generation whose module uses the actions that {@code actions} creates for it. */
    ConfigGeneration(
            DecisionSettings settings, double nowMs, long seed, Function<ConfigGeneration, DecisionActions> actions) {
        this.settings = settings;
        validator = new RequestValidator(settings);
        module = new AdmissionController(nowMs, settings, seed, actions.apply(this));
    }
}
