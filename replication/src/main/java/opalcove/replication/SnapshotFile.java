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

/** A gateway's snapshot as JSON in a {@link AtomicFile}. */
public final class SnapshotFile {
    private static final int FORM = 1;

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
                .add("snapshot", FORM)
                .add("gateway", snapshot.gateway())
                .add("written_ms", snapshot.writtenAtMs())
                .add("incarnation", snapshot.incarnation())
                .add("clean", snapshot.isClean())
                .add("version", snapshot.version())
                .add("text", snapshot.text())
                .add("members", members);
        AtomicFile.write(file, object.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Reads a snapshot; one that is not there, torn, of another form or no snapshot at all is refused with the reason. */
    public static Snapshot read(Path file) throws IOException {
        if (!AtomicFile.existsOrBefore(file)) {
            throw new InvalidConfigurationException(file + ": there is none");
        }
        JsonFields f;
        try {
            f = JsonFields.parse(new String(AtomicFile.readOrBefore(file), StandardCharsets.UTF_8));
            if (f.whole("snapshot") != FORM) {
                throw new InvalidConfigurationException("its form is " + f.whole("snapshot") + ", not " + FORM);
            }
            List<Snapshot.Peer> members = f.objects("members").stream()
                    .map(each -> new Snapshot.Peer(each.text("name"), each.text("address"), each.serial("incarnation")))
                    .toList();
            return new Snapshot(
                    f.text("gateway"),
                    f.serial("written_ms"),
                    f.serial("incarnation"),
                    f.flag("clean"),
                    f.serial("version"),
                    f.text("text"),
                    members);
        } catch (InvalidConfigurationException e) {
            throw e.getMessage().startsWith(file.toString())
                    ? e
                    : new InvalidConfigurationException(file + ": " + e.getMessage());
        }
    }

    /** As {@link #read}, for the gateway of that name alone. */
    static Snapshot read(Path file, String gateway) throws IOException {
        Snapshot snapshot = read(file);
        if (!snapshot.gateway().equals(gateway)) {
            throw new InvalidConfigurationException(file + ": it is of " + snapshot.gateway());
        }
        return snapshot;
    }
}
