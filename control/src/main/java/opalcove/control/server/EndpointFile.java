package opalcove.control.server;

import java.io.IOException;
import java.nio.file.ClosedWatchServiceException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardWatchEventKinds;
import java.nio.file.WatchKey;
import java.nio.file.WatchService;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import opalcove.config.Backend;
import opalcove.config.EndpointCodec;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;
import org.tinylog.Logger;

/**
 * The node list in a file, in discovery's form. It is read whenever the file is written or replaced; one that is torn, empty or
 * gone changes nothing and is told. A field {@code override} set to true lifts the guard against shrinking for that list.
 */
public final class EndpointFile implements AutoCloseable {
    private final Path file;
    private final BiConsumer<Boolean, List<Backend>> told;
    private final Consumer<String> failed;
    private final WatchService watch;
    private String last = "";

    /** Reads the file, and follows it from then on; both are told on a thread of its own. */
    public EndpointFile(Path file, BiConsumer<Boolean, List<Backend>> told, Consumer<String> failed)
            throws IOException {
        this.file = file;
        this.told = told;
        this.failed = failed;
        watch = file.getFileSystem().newWatchService();
        file.getParent()
                .register(
                        watch,
                        StandardWatchEventKinds.ENTRY_CREATE,
                        StandardWatchEventKinds.ENTRY_MODIFY,
                        StandardWatchEventKinds.ENTRY_DELETE);
        Thread thread = new Thread(this::follow, "nodes");
        thread.setDaemon(true);
        thread.start();
    }

    private void follow() {
        try {
            while (true) {
                look();
                WatchKey key = watch.take();
                key.pollEvents();
                key.reset();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ClosedWatchServiceException e) {
            Logger.debug("the node list is not followed any more");
        }
    }

    private void look() {
        try {
            String text = Files.readString(file);
            if (!text.equals(last)) {
                last = text;
                JsonFields fields = JsonFields.parse(text);
                List<Backend> nodes = EndpointCodec.read(fields.objects("endpoints"));
                for (int i = 0; i < nodes.size(); i++) {
                    HostAndPort.read(nodes.get(i).address(), "endpoints[" + i + "].address");
                }
                told.accept(fields.flag("override"), nodes);
            }
        } catch (IOException | InvalidConfigurationException e) {
            failed.accept(file + ": " + e.getMessage());
        }
    }

    @Override
    public void close() throws IOException {
        watch.close();
    }
}
