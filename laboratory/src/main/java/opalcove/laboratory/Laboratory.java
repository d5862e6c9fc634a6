package opalcove.laboratory;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.decision.DecisionSettings;

/** The settings that the programs of the laboratory share. */
public final class Laboratory {
    private Laboratory() {}

    /** Returns settings whose quotas and limits no load reaches. */
    public static DecisionSettings settings() {
        return SettingsReader.read(JsonFields.parse(settingsText()));
    }

    static String settingsText() {
        try (var file = Laboratory.class.getResourceAsStream("settings.json")) {
            return new String(file.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
