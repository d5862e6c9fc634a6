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
 * Replaces the content of a file atomically: the new content is written to a second file, synced and renamed to the
 * file's name. A header holds the version of the format, the length and a CRC32C of the content. The previous content
 * stays available under another name, for readers that may use an older one.
 *
 * <p>If any step fails, the caller must not rely on the write. The partly written file is deleted instead of being
 * synced again: after a failed sync, the operating system may take data for written that it could not write.
 */
final class AtomicFile {
    private static final byte[] MAGIC = {'o', 'p', 'l', 'v'};
    private static final int FORMAT_VERSION = 1;
    private static final int HEADER_BYTES = MAGIC.length + 3 * Integer.BYTES;
    private static final String NEW_FILE_SUFFIX = ".part";
    private static final String PREVIOUS_FILE_SUFFIX = ".before";

    private AtomicFile() {}

    static void write(Path file, byte[] content) throws IOException {
        write(FileOperations.REAL, file, content);
    }

    static void write(FileOperations operations, Path file, byte[] content) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + content.length)
                .put(MAGIC)
                .putInt(FORMAT_VERSION)
                .putInt(content.length)
                .putInt(checksum(content))
                .put(content)
                .flip();
        Path newFile = withSuffix(file, NEW_FILE_SUFFIX);
        operations.delete(newFile);
        try {
            operations.write(newFile, bytes);
            operations.sync(newFile);
        } catch (IOException e) {
            deleteAfterFailure(e, operations, newFile);
            throw e;
        }
        savePrevious(operations, file);
        operations.rename(newFile, file);
        operations.sync(file.toAbsolutePath().getParent());
    }

    /** Saves the previous content under a name of its own, if it is intact. */
    private static void savePrevious(FileOperations operations, Path file) throws IOException {
        if (Files.exists(file) && isIntact(file)) {
            Path previous = withSuffix(file, PREVIOUS_FILE_SUFFIX);
            operations.delete(previous);
            operations.createAlias(previous, file);
        }
    }

    private static void deleteAfterFailure(IOException failure, FileOperations operations, Path newFile) {
        try {
            operations.delete(newFile);
        } catch (IOException e) {
            failure.addSuppressed(e);
        }
    }

    private static boolean isIntact(Path file) throws IOException {
        try {
            read(file);
            return true;
        } catch (InvalidConfigurationException damaged) {
            return false;
        }
    }

    private static Path withSuffix(Path file, String suffix) {
        return file.resolveSibling(file.getFileName() + suffix);
    }

    /** Whether the file or its previous content exists. */
    static boolean existsOrPrevious(Path file) {
        return Files.exists(file) || Files.exists(withSuffix(file, PREVIOUS_FILE_SUFFIX));
    }

    /**
     * Returns the content of the file.
     *
     * @throws InvalidConfigurationException with the reason, if the file is empty, incomplete, damaged, of another
     *     format version or not written by this class
     */
    static byte[] read(Path file) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
        byte[] magic = new byte[MAGIC.length];
        bytes.get(magic, 0, Math.min(magic.length, bytes.remaining()));
        if (bytes.capacity() < HEADER_BYTES || !Arrays.equals(magic, MAGIC)) {
            throw new InvalidConfigurationException(
                    file + ": " + (bytes.capacity() == 0 ? "it is empty" : "it is no state of this program"));
        }
        int formatVersion = bytes.getInt();
        if (formatVersion != FORMAT_VERSION) {
            throw new InvalidConfigurationException(
                    file + ": its form is " + formatVersion + ", not " + FORMAT_VERSION);
        }
        int length = bytes.getInt();
        int checksum = bytes.getInt();
        byte[] content = new byte[bytes.remaining()];
        bytes.get(content);
        if (length != content.length || checksum != checksum(content)) {
            throw new InvalidConfigurationException(file + ": it is torn (" + content.length + " of " + length
                    + " bytes, or their checksum does not hold)");
        }
        return content;
    }

    /**
     * Returns the content of the file, or the previous content if the file is missing or invalid; that is logged. Must
     * not be used for data that must never be older than was promised to others, such as a vote.
     *
     * @throws InvalidConfigurationException with the reason, if neither content can be read
     */
    static byte[] readOrPrevious(Path file) throws IOException {
        Path previous = withSuffix(file, PREVIOUS_FILE_SUFFIX);
        if (!Files.exists(file) && Files.exists(previous)) {
            Logger.warn("{} does not exist, using its previous content", file);
            return read(previous);
        }
        try {
            return read(file);
        } catch (InvalidConfigurationException rejection) {
            if (!Files.exists(previous)) {
                throw rejection;
            }
            byte[] content = read(previous);
            Logger.warn("{}; using the previous content of the file", rejection.getMessage());
            return content;
        }
    }

    private static int checksum(byte[] content) {
        CRC32C checksum = new CRC32C();
        checksum.update(content);
        return (int) checksum.getValue();
    }
}
