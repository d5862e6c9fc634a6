package opalcove.control.server;

import java.io.IOException;
import java.nio.file.ClosedWatchServiceException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardWatchEventKinds;
import java.nio.file.WatchKey;
import java.nio.file.WatchService;
import java.util.List;
import opalcove.config.Backend;
import opalcove.config.EndpointCodec;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import opalcove.control.cluster.EndpointUpdate;
import org.tinylog.Logger;

/**
 * A file with the endpoint list in the JSON form of the discovery module. The file is read whenever it is written or
 * replaced; a file that is truncated, empty or missing is reported as a failure. If the field {@code override} is true,
 * the shrink limit does not apply to that list.
 *
 * <p>A separate thread reads the file and calls the listener.
 */
final class EndpointFile implements AutoCloseable {
    /** Receives endpoint lists and failures, on the thread that reads the file. */
    interface Listener {
        /** Called with each complete list that differs from the one before. */
        void onEndpoints(EndpointUpdate update);

        /** Called if the file cannot be read, with its path and the reason. */
        void onFailure(String problem);
    }

    private final Path file;
    private final Listener listener;
    private final WatchService watchService;
    private String lastText = "";

    /**
     * Starts the thread that reads the file and watches it for changes.
     *
     * @throws IOException if its folder cannot be watched
     */
    EndpointFile(Path file, Listener listener) throws IOException {
        this.file = file;
        this.listener = listener;
        watchService = file.getFileSystem().newWatchService();
        file.getParent()
                .register(
                        watchService,
                        StandardWatchEventKinds.ENTRY_CREATE,
                        StandardWatchEventKinds.ENTRY_MODIFY,
                        StandardWatchEventKinds.ENTRY_DELETE);
        Thread thread = new Thread(this::watch, "nodes");
        thread.setDaemon(true);
        thread.start();
    }

    private void watch() {
        try {
            while (true) {
                readIfChanged();
                WatchKey key = watchService.take();
                key.pollEvents();
                key.reset();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ClosedWatchServiceException e) {
            Logger.debug("the endpoint file is no longer watched");
        }
    }

    private void readIfChanged() {
        try {
            String text = Files.readString(file);
            if (!text.equals(lastText)) {
                lastText = text;
                listener.onEndpoints(read(text));
            }
        } catch (IOException | InvalidConfigurationException e) {
            listener.onFailure(file + ": " + e.getMessage());
        }
    }

    private static EndpointUpdate read(String text) {
        JsonFields fields = JsonFields.parse(text);
        List<Backend> backends = EndpointCodec.read(fields.objects("endpoints"));
        for (int i = 0; i < backends.size(); i++) {
            HostAndPort.parse(backends.get(i).address(), "endpoints[" + i + "].address");
        }
        return new EndpointUpdate(true, fields.flag("override"), backends);
    }

    @Override
    public void close() throws IOException {
        watchService.close();
    }
}
