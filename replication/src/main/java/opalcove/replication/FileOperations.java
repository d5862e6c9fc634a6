package opalcove.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The steps that replace a file. Each step may fail, and the process may end after each of them. */
interface FileOperations {
    /** The operations of the real file system. */
    FileOperations REAL = new FileOperations() {};

    /** Writes the bytes to a new file, which must not exist yet. */
    default void write(Path file, ByteBuffer bytes) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }
    }

    /** Forces a file, or the entries of a folder, to the storage device. */
    default void sync(Path file) throws IOException {
        boolean isFolder = Files.isDirectory(file);
        try (FileChannel channel =
                FileChannel.open(file, isFolder ? StandardOpenOption.READ : StandardOpenOption.WRITE)) {
            channel.force(true);
        }
    }

    /** Renames a file atomically, and replaces a file that has the new name. */
    default void rename(Path source, Path target) throws IOException {
        Files.move(source, target, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Gives a file an additional name (a hard link). The new name must not exist yet. */
    default void createAlias(Path alias, Path existing) throws IOException {
        Files.createLink(alias, existing);
    }

    /** Deletes a file, if it exists. */
    default void delete(Path file) throws IOException {
        Files.deleteIfExists(file);
    }
}
