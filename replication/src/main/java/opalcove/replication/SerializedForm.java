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
 * Messages and records of the consensus library as bytes: serialized Java objects, deflated. Only the library's model,
 * the project's classes of {@link WrittenClass} and plain classes of the JDK are read, with bounds on size and depth.
 */
final class SerializedForm {
    /** Guards against objects of other classes in bytes from the network or from a file, and against oversized ones. */
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
     * @throws InvalidConfigurationException with the reason, if the bytes hold no object of that type and of allowed
     *     classes
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
