package opalcove.replication;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.recovery.Snapshot;

/** Reads and writes a gateway's snapshot as JSON in an {@link AtomicFile}. */
public final class SnapshotFile {
    private static final int FORMAT_VERSION = 1;

    private SnapshotFile() {}

    static void write(Path file, Snapshot snapshot) throws IOException {
        JsonArray members = new JsonArray();
        for (Snapshot.Peer each : snapshot.members()) {
            members.add(Json.object()
                    .add("name", each.name())
                    .add("address", each.address())
                    .add("incarnation", each.incarnation()));
        }
        JsonObject object = Json.object()
                .add("snapshot", FORMAT_VERSION)
                .add("gateway", snapshot.gateway())
                .add("written_ms", snapshot.writtenAtMs())
                .add("incarnation", snapshot.incarnation())
                .add("clean", snapshot.isClean())
                .add("version", snapshot.version())
                .add("text", snapshot.text())
                .add("members", members);
        AtomicFile.write(file, object.toString().getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Reads a snapshot, or the previous one if the newest cannot be read.
     *
     * @throws InvalidConfigurationException with the reason, if there is no snapshot, or if it is damaged, of another
     *     format version or not a snapshot
     */
    public static Snapshot read(Path file) throws IOException {
        if (!AtomicFile.existsOrPrevious(file)) {
            throw new InvalidConfigurationException(file + ": there is none");
        }
        try {
            return parse(JsonFields.parse(new String(AtomicFile.readOrPrevious(file), StandardCharsets.UTF_8)));
        } catch (InvalidConfigurationException e) {
            throw e.getMessage().startsWith(file.toString())
                    ? e
                    : new InvalidConfigurationException(file + ": " + e.getMessage());
        }
    }

    private static Snapshot parse(JsonFields fields) {
        if (fields.integer("snapshot") != FORMAT_VERSION) {
            throw new InvalidConfigurationException(
                    "its form is " + fields.integer("snapshot") + ", not " + FORMAT_VERSION);
        }
        List<Snapshot.Peer> members = fields.objects("members").stream()
                .map(each ->
                        new Snapshot.Peer(each.text("name"), each.text("address"), each.longInteger("incarnation")))
                .toList();
        return new Snapshot(
                fields.text("gateway"),
                fields.longInteger("written_ms"),
                fields.longInteger("incarnation"),
                fields.flag("clean"),
                fields.longInteger("version"),
                fields.text("text"),
                members);
    }

    /**
     * Reads the snapshot of the gateway with the given name, as {@link #read(Path)} does; rejects a snapshot of another
     * gateway.
     */
    static Snapshot read(Path file, String gateway) throws IOException {
        Snapshot snapshot = read(file);
        if (!snapshot.gateway().equals(gateway)) {
            throw new InvalidConfigurationException(file + ": it is of " + snapshot.gateway());
        }
        return snapshot;
    }
}
