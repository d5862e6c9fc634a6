package opalcove.core;

import java.util.ArrayList;
import java.util.List;
import opalcove.decision.DecisionSettings;

/** The newest settings, and older ones that still have open requests. Used on the event loop only. */
final class ConfigGenerations {
    private final List<ConfigGeneration> inUse = new ArrayList<>(2);
    private ConfigGeneration newest;

    /** The generation that new requests are accepted under. */
    ConfigGeneration newest() {
        return newest;
    }

    /** Makes this the newest generation. */
    void add(ConfigGeneration next) {
        newest = next;
        inUse.removeIf(this::isRetired);
        inUse.add(next);
    }

    /** Whether nothing is left to be decided under it. */
    boolean isRetired(ConfigGeneration generation) {
        return generation != newest && generation.openRequests == 0;
    }

    /** All generations whose modules may still have work, the newest last. */
    List<ConfigGeneration> inUse() {
        inUse.removeIf(this::isRetired);
        return inUse;
    }

    /** The longest deadline of any class in use, ms. */
    long maxDeadlineMs() {
        return (long) inUse().stream()
                .flatMap(each -> each.settings.classes().stream())
                .mapToDouble(DecisionSettings.RequestClass::deadlineMs)
                .max()
                .orElse(0);
    }
}
