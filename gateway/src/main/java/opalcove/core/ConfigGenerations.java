package opalcove.core;

import java.util.ArrayList;
import java.util.List;
import opalcove.decision.DecisionSettings;

/** The newest generation of settings, and older ones that still have open requests. Used on the event loop only. */
final class ConfigGenerations {
    private final List<ConfigGeneration> inUse = new ArrayList<>(2);
    private ConfigGeneration newest;

    /** Returns the generation under which new requests are accepted. */
    ConfigGeneration newest() {
        return newest;
    }

    /** Makes this generation the newest. */
    void add(ConfigGeneration next) {
        newest = next;
        inUse.removeIf(this::isRetired);
        inUse.add(next);
    }

    /**
     * Whether the generation has been replaced and has no open request, so that its module has nothing left to decide.
     */
    boolean isRetired(ConfigGeneration generation) {
        return generation != newest && generation.openRequests == 0;
    }

    /** Returns all generations whose modules may still have work, the newest last. */
    List<ConfigGeneration> inUse() {
        inUse.removeIf(this::isRetired);
        return inUse;
    }

    /** Returns the longest deadline of any request class in use, ms. */
    long maxDeadlineMs() {
        return (long) inUse().stream()
                .flatMap(each -> each.settings.classes().stream())
                .mapToDouble(DecisionSettings.RequestClass::deadlineMs)
                .max()
                .orElse(0);
    }
}
