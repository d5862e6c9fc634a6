package opalcove.replication;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.ObjectInputFilter;
import java.io.ObjectInputStream;
import java.io.ObjectOutputStream;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import opalcove.config.InvalidConfigurationException;

/**
 * The consensus library's messages and records as bytes. They are serializable Java objects; what is read back may be of its
 * model, of the project's {@link WrittenClass}es and of the plainest classes alone, and is bounded in size and depth.
 */
final class SerializedForm {
    private static final ObjectInputFilter ALLOWED = ObjectInputFilter.Config.createFilter(
            "maxbytes=16777216;maxdepth=24;maxarray=65536;io.microraft.model.**;io.microraft.MembershipChangeMode;"
                    + WrittenClass.filterPatterns() + ";java.util.*;java.lang.*;!*");

    private SerializedForm() {}

    static byte[] write(Object object) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (ObjectOutputStream out = new WrittenClass.Output(new DeflaterOutputStream(bytes))) {
            out.writeObject(object);
        } catch (IOException e) {
            throw new IllegalStateException("not to be written: " + object, e);
        }
        return bytes.toByteArray();
    }

    static <T> T read(byte[] bytes, Class<T> type) {
        try (ObjectInputStream in = new WrittenClass.Input(new InflaterInputStream(new ByteArrayInputStream(bytes)))) {
            in.setObjectInputFilter(ALLOWED);
            return type.cast(in.readObject());
        } catch (IOException | ClassNotFoundException | ClassCastException e) {
            throw new InvalidConfigurationException("not a record of this program: " + e.getMessage());
        }
    }
}
