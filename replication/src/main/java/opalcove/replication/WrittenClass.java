package opalcove.replication;

import java.io.IOException;
import java.io.InputStream;
import java.io.InvalidClassException;
import java.io.ObjectInputStream;
import java.io.ObjectOutputStream;
import java.io.ObjectStreamClass;
import java.io.ObjectStreamConstants;
import java.io.ObjectStreamField;
import java.io.OutputStream;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import opalcove.configlease.VersionLog;

/**
 * The project's classes in serialized streams, each with the class name and the field names that the stream uses.
 * These names must not change when a class or a field is renamed in the code: stored states outlive a build, and
 * processes of an older build must be able to read the messages of this one. The fields are listed in stream order:
 * primitive fields first, and each group sorted by the names in the code. A new name in the code must therefore sort
 * into the same place.
 */
enum WrittenClass {
    PROPOSAL("opalcove.agreement.Registry$Proposal", VersionLog.Proposal.class, "base", "by", "id", "text"),
    VERSION("opalcove.agreement.Registry$Version", VersionLog.Version.class, "number", "by", "id", "text"),
    OUTCOME("opalcove.agreement.Registry$Outcome", VersionLog.Outcome.class, "taken", "version", "reason"),
    VOTER_ID("opalcove.versions.Voter$Named", RaftVoter.VoterId.class, "id"),
    VOTER_STATE(
            "opalcove.versions.VoterStore$State",
            RaftVoterStore.State.class,
            "endpoint",
            "entries",
            "members",
            "snapshot",
            "term");

    private static final String PROJECT_PREFIX = "opalcove.";

    private final String writtenName;
    private final ObjectStreamClass descriptor;
    private final List<String> writtenFields;

    WrittenClass(String writtenName, Class<?> type, String... writtenFields) {
        this.writtenName = writtenName;
        this.writtenFields = List.of(writtenFields);
        descriptor = ObjectStreamClass.lookup(type);
        if (descriptor.getFields().length != writtenFields.length) {
            throw new IllegalStateException(type + " must have as many fields as " + this.writtenFields);
        }
    }

    /** Returns the names of these classes in the code, as patterns of a serialization filter. */
    static String filterPatterns() {
        return Stream.of(values()).map(each -> each.descriptor.getName()).collect(Collectors.joining(";"));
    }

    private void write(ObjectOutputStream out) throws IOException {
        out.writeUTF(writtenName);
        out.writeLong(descriptor.getSerialVersionUID());
        out.writeByte(ObjectStreamConstants.SC_SERIALIZABLE);
        ObjectStreamField[] fields = descriptor.getFields();
        out.writeShort(fields.length);
        for (int i = 0; i < fields.length; i++) {
            out.writeByte(fields[i].getTypeCode());
            out.writeUTF(writtenFields.get(i));
            if (!fields[i].isPrimitive()) {
                out.writeObject(fields[i].getTypeString());
            }
        }
    }

    /**
     * Returns the descriptor of this class if the one read from the stream has the same fields. Without this check a
     * value could be read into another field, because fields are matched by position only.
     */
    private ObjectStreamClass validateDescriptor(ObjectStreamClass read) throws InvalidClassException {
        ObjectStreamField[] readFields = read.getFields();
        ObjectStreamField[] fields = descriptor.getFields();
        boolean matches =
                readFields.length == fields.length && read.getSerialVersionUID() == descriptor.getSerialVersionUID();
        for (int i = 0; matches && i < fields.length; i++) {
            matches = readFields[i].getName().equals(writtenFields.get(i))
                    && readFields[i].getTypeCode() == fields[i].getTypeCode()
                    && (fields[i].isPrimitive() || readFields[i].getTypeString().equals(fields[i].getTypeString()));
        }
        if (!matches) {
            throw new InvalidClassException(writtenName, "its fields are not those of this program");
        }
        return descriptor;
    }

    /** Writes the project's classes under their names in streams. */
    static final class Output extends ObjectOutputStream {
        Output(OutputStream sink) throws IOException {
            super(sink);
        }

        @Override
        protected void writeClassDescriptor(ObjectStreamClass descriptor) throws IOException {
            for (WrittenClass each : values()) {
                if (each.descriptor.forClass() == descriptor.forClass()) {
                    each.write(this);
                    return;
                }
            }
            super.writeClassDescriptor(descriptor);
        }
    }

    /** Reads the project's classes by their names in streams, and rejects all other classes of the project. */
    static final class Input extends ObjectInputStream {
        Input(InputStream source) throws IOException {
            super(source);
        }

        @Override
        protected ObjectStreamClass readClassDescriptor() throws IOException, ClassNotFoundException {
            ObjectStreamClass read = super.readClassDescriptor();
            for (WrittenClass each : values()) {
                if (each.writtenName.equals(read.getName())) {
                    return each.validateDescriptor(read);
                }
            }
            if (read.getName().startsWith(PROJECT_PREFIX)) {
                throw new InvalidClassException(read.getName(), "is not written by this program");
            }
            return read;
        }
    }
}
