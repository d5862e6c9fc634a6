package opalcove.replication;

import com.eclipsesource.json.JsonObject;
import java.util.function.Consumer;

/** Writes this gateway's events, each as a JSON object, if the settings enable events. */
final class EventWriter {
    private final boolean isEnabled;
    private final String observer;
    private final Consumer<String> sink;

    EventWriter(boolean isEnabled, String observer, Consumer<String> sink) {
        this.isEnabled = isEnabled;
        this.observer = observer;
        this.sink = sink;
    }

    /** Writes the event, and adds the time in Unix ms and this gateway's name to it. */
    void write(JsonObject event) {
        if (isEnabled) {
            sink.accept(event.add("at_ms", System.currentTimeMillis())
                    .add("observer", observer)
                    .toString());
        }
    }
}
