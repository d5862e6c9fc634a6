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
 * Converts messages and records of the consensus library to bytes and back. The bytes are serialized Java objects,
 * deflated. It reads only the library's model, the classes of {@link WrittenClass} and basic classes of the JDK, with
 * limits on size and depth.
 */
final class SerializedForm {
    /** Rejects objects of other classes, and oversized objects, in bytes from the network or from a file. */
    private static final ObjectInputFilter INPUT_FILTER = ObjectInputFilter.Config.createFilter(
            "maxbytes=16777216;maxdepth=24;maxarray=65536;io.microraft.model.**;io.microraft.MembershipChangeMode;"
                    + WrittenClass.filterPatterns() + ";java.util.*;java.lang.*;!*");

    private SerializedForm() {}

    static byte[] write(Object object) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (ObjectOutputStream out = new WrittenClass.Output(new DeflaterOutputStream(bytes))) {
            out.writeObject(object);
        } catch (IOException e) {
            throw new IllegalStateException("cannot be serialized: " + object, e);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads an object.
     *
     * @throws InvalidConfigurationException with the reason, if the bytes do not hold an object of that type that
     *     consists of allowed classes
     */
    static <T> T read(byte[] bytes, Class<T> type) {
        try (ObjectInputStream in = new WrittenClass.Input(new InflaterInputStream(new ByteArrayInputStream(bytes)))) {
            in.setObjectInputFilter(INPUT_FILTER);
            return type.cast(in.readObject());
        } catch (IOException | ClassNotFoundException | ClassCastException e) {
            throw new InvalidConfigurationException("not a record of this program: " + e.getMessage());
        }
    }
}
