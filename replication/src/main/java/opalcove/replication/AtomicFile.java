package opalcove.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.zip.CRC32C;
import opalcove.config.InvalidConfigurationException;
import org.tinylog.Logger;

/**
 * Bytes kept in a file, whole or not at all: written beside it, synced and moved into its place. A head tells the form's
 * version, the length and a CRC32C of what follows. The content before is kept under another name, for who may use an
 * older one.
 *
 * <p>A write that has failed in any step has not been done: its caller must not count on it. What was written by then is
 * deleted and not synced once more, for after a failed sync the system may take what it could not write for written.
 */
final class AtomicFile {
    private static final byte[] MARK = {'o', 'p', 'l', 'v'};
    private static final int FORM = 1;
    private static final int HEAD = MARK.length + 3 * Integer.BYTES;

    private AtomicFile() {}

    static void write(Path file, byte[] content) throws IOException {
        write(FileOperations.REAL, file, content);
    }

    static void write(FileOperations disk, Path file, byte[] content) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(HEAD + content.length)
                .put(MARK)
                .putInt(FORM)
                .putInt(content.length)
                .putInt(sum(content))
                .put(content)
                .flip();
        Path part = beside(file, ".part");
        disk.delete(part);
        try {
            disk.write(part, bytes);
            disk.sync(part);
        } catch (IOException e) {
            deleteAfter(e, disk, part);
            throw e;
        }
        keepBefore(disk, file);
        disk.rename(part, file);
        disk.sync(file.toAbsolutePath().getParent());
    }

    /** Keeps the content before under its own name, where it is whole. */
    private static void keepBefore(FileOperations disk, Path file) throws IOException {
        if (Files.exists(file) && isWhole(file)) {
            Path before = beside(file, ".before");
            disk.delete(before);
            disk.link(before, file);
        }
    }

    private static void deleteAfter(IOException failure, FileOperations disk, Path part) {
        try {
            disk.delete(part);
        } catch (IOException e) {
            failure.addSuppressed(e);
        }
    }

    private static boolean isWhole(Path file) throws IOException {
        try {
            readOne(file);
            return true;
        } catch (InvalidConfigurationException torn) {
            return false;
        }
    }

    private static Path beside(Path file, String ending) {
        return file.resolveSibling(file.getFileName() + ending);
    }

    /** Whether there is a content, be it the one before. */
    static boolean existsOrBefore(Path file) {
        return Files.exists(file) || Files.exists(beside(file, ".before"));
    }

    /** The content; a file that is torn, empty, foreign or of another form is refused with the reason. */
    static byte[] read(Path file) throws IOException {
        return readOne(file);
    }

    /**
     * The content, or the one before where the file cannot be read or is not there; that is said. Refused with the reason where
     * neither can be read. Not for what must not be older than was promised, such as a vote.
     */
    static byte[] readOrBefore(Path file) throws IOException {
        Path before = beside(file, ".before");
        if (!Files.exists(file) && Files.exists(before)) {
            Logger.warn("{} is not there: the content before is used", file);
            return readOne(before);
        }
        try {
            return readOne(file);
        } catch (InvalidConfigurationException refused) {
            if (!Files.exists(before)) {
                throw refused;
            }
            byte[] content = readOne(before);
            Logger.warn("{}: the content before is used", refused.getMessage());
            return content;
        }
    }

    private static byte[] readOne(Path file) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
        byte[] mark = new byte[MARK.length];
        bytes.get(mark, 0, Math.min(mark.length, bytes.remaining()));
        if (bytes.capacity() < HEAD || !Arrays.equals(mark, MARK)) {
            throw new InvalidConfigurationException(
                    file + ": " + (bytes.capacity() == 0 ? "it is empty" : "it is no state of this program"));
        }
        int form = bytes.getInt();
        if (form != FORM) {
            throw new InvalidConfigurationException(file + ": its form is " + form + ", not " + FORM);
        }
        int length = bytes.getInt();
        int sum = bytes.getInt();
        byte[] content = new byte[bytes.remaining()];
        bytes.get(content);
        if (length != content.length || sum != sum(content)) {
            throw new InvalidConfigurationException(file + ": it is torn (" + content.length + " of " + length
                    + " bytes, or their checksum does not hold)");
        }
        return content;
    }

    private static int sum(byte[] content) {
        CRC32C sum = new CRC32C();
        sum.update(content);
        return (int) sum.getValue();
    }
}
