package opalcove.laboratory.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The list of backends that the discovery agents serve, with its version. */
final class Fleet {
    /** One backend's entry without its address, which is different for each gateway. */
    static final class Entry {
        final int number;
        final SoakBackendLocation location;
        String status = "up";
        long sinceMs;
        /** The version of the list that last changed the entry. */
        long index;

        Entry(int number, SoakBackendLocation location) {
            this.number = number;
            this.location = location;
        }

        String name() {
            return "backend-" + number;
        }
    }

    private final List<Entry> entries = new ArrayList<>();
    private final List<Consumer<Entry>> watchers = new ArrayList<>();
    private long index = 1;

    Fleet(List<SoakBackendLocation> locations) {
        for (SoakBackendLocation location : locations) {
            entries.add(new Entry(entries.size(), location));
        }
    }

    void addWatcher(Consumer<Entry> watcher) {
        watchers.add(watcher);
    }

    long index() {
        return index;
    }

    Entry entry(int backend) {
        return entries.get(backend);
    }

    void change(int backend, String status, long sinceMs) {
        Entry entry = entries.get(backend);
        entry.status = status;
        entry.sinceMs = sinceMs;
        entry.index = ++index;
        watchers.forEach(watcher -> watcher.accept(entry));
    }

    /** Returns the complete list as JSON, for a gateway that reaches the backends at these addresses. */
    JsonObject snapshot(List<String> addresses, boolean withDraining) {
        JsonArray endpoints = new JsonArray();
        for (Entry each : entries) {
            boolean listed = each.status.equals("up") || withDraining && each.status.equals("draining");
            if (listed) {
                endpoints.add(entryJson(each, addresses));
            }
        }
        return Json.object().add("index", index).add("snapshot", true).add("endpoints", endpoints);
    }

    /** Returns the entries that have changed since a version as JSON. */
    JsonObject changes(long since, List<String> addresses) {
        JsonArray endpoints = new JsonArray();
        for (Entry each : entries) {
            if (each.index > since) {
                endpoints.add(entryJson(each, addresses));
            }
        }
        return Json.object().add("index", index).add("snapshot", false).add("endpoints", endpoints);
    }

    private static JsonObject entryJson(Entry entry, List<String> addresses) {
        return Json.object()
                .add("name", entry.name())
                .add("address", addresses.get(entry.number))
                .add("zone", entry.location.zone())
                .add("type", "std")
                .add("group", entry.location.cell())
                .add("status", entry.status)
                .add("weight", 1.0)
                .add("since_ms", entry.sinceMs);
    }
}
