package opalcove.replication;

import com.eclipsesource.json.JsonObject;
import java.util.function.Consumer;

/** Writes this gateway's events, a JSON object each, if the settings ask for them. */
final class EventWriter {
    private final boolean isEnabled;
    private final String observer;
    private final Consumer<String> sink;

    EventWriter(boolean isEnabled, String observer, Consumer<String> sink) {
        this.isEnabled = isEnabled;
        this.observer = observer;
        this.sink = sink;
    }

    /** Writes the event, with the time and this gateway's name added. */
    void write(JsonObject event) {
        if (isEnabled) {
            sink.accept(event.add("at_ms", System.currentTimeMillis())
                    .add("observer", observer)
                    .toString());
        }
    }
}
