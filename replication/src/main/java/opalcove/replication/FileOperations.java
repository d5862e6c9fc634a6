package opalcove.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The steps by which a file is replaced; each may fail, and the process may end after each. */
interface FileOperations {
    /** The machine's own. */
    FileOperations REAL = new FileOperations() {};

    /** Writes the bytes into a new file, which must not be there. */
    default void write(Path file, ByteBuffer bytes) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }
    }

    /** Has the system put a file, or a folder's entries, on the medium. */
    default void sync(Path file) throws IOException {
        boolean folder = Files.isDirectory(file);
        try (FileChannel channel =
                FileChannel.open(file, folder ? StandardOpenOption.READ : StandardOpenOption.WRITE)) {
            channel.force(true);
        }
    }

    /** Gives a file another name, in the place of one that had it. */
    default void rename(Path from, Path to) throws IOException {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Gives a file a second name, which must not be taken. */
    default void link(Path name, Path file) throws IOException {
        Files.createLink(name, file);
    }

    /** Takes a name away, where there is such a file. */
    default void delete(Path file) throws IOException {
        Files.deleteIfExists(file);
    }
}
