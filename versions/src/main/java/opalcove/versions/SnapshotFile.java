package opalcove.versions;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import opalcove.gateway.BadSettings;
import opalcove.gateway.Fields;
import opalcove.recovery.Snapshot;

/** A gateway's snapshot as JSON in a {@link StateFile}. */
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
                .add("written_ms", snapshot.writtenMs())
                .add("incarnation", snapshot.incarnation())
                .add("clean", snapshot.clean())
                .add("version", snapshot.version())
                .add("text", snapshot.text())
                .add("members", members);
        StateFile.write(file, object.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Reads a snapshot; one that is not there, torn, of another form or no snapshot at all is refused with the reason. */
    public static Snapshot read(Path file) throws IOException {
        if (!StateFile.existsOrBefore(file)) {
            throw new BadSettings(file + ": there is none");
        }
        Fields f;
        try {
            f = Fields.parse(new String(StateFile.readOrBefore(file), StandardCharsets.UTF_8));
            if (f.whole("snapshot") != FORM) {
                throw new BadSettings("its form is " + f.whole("snapshot") + ", not " + FORM);
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
        } catch (BadSettings e) {
            throw e.getMessage().startsWith(file.toString()) ? e : new BadSettings(file + ": " + e.getMessage());
        }
    }

    /** As {@link #read}, for the gateway of that name alone. */
    static Snapshot read(Path file, String gateway) throws IOException {
        Snapshot snapshot = read(file);
        if (!snapshot.gateway().equals(gateway)) {
            throw new BadSettings(file + ": it is of " + snapshot.gateway());
        }
        return snapshot;
    }
}
