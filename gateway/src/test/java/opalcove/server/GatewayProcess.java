package opalcove.server;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import opalcove.TestSettings;

/** The program in a process of its own, started by a shell that sets its limit of descriptors. */
final class GatewayProcess implements Closeable {
    private final Path config = Files.createTempFile("config", ".json");
    private final Path log = Files.createTempFile("gateway", ".log");
    private final Process process;
    /** The largest number of descriptors seen so far. */
    private int maxDescriptors;

    /** Starts the program at the reserved port, with these flags of the virtual machine. */
    GatewayProcess(SocketChannel port, DiscoveryServer discovery, int maxDescriptors, List<String> flags)
            throws IOException {
        Files.writeString(
                config,
                "{\"name\":\"n0\",\"listen\":\"" + address(port) + "\",\"discovery\":\"127.0.0.1:" + discovery.port()
                        + "\",\"rehearsal_ms\":0,\"limits\":{\"sockets\":" + maxDescriptors + "},\"settings\":"
                        + TestSettings.JSON.replace("\"max_open\":4", "\"max_open\":1000") + "}");
        List<String> command =
                new ArrayList<>(List.of("sh", "-c", "ulimit -n " + maxDescriptors + " && exec \"$@\"", "sh"));
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        // As the manifest of the program does.
        command.add("--add-opens=java.base/java.nio=ALL-UNNAMED");
        command.addAll(flags);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "opalcove.Main", "serve"));
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("GW_CONFIG", config.toString());
        process = builder.start();
    }

    /** Reserves a port: it is bound here without listening, so that no other process gets it. */
    static SocketChannel reservePort() throws IOException {
        return SocketChannel.open()
                .setOption(StandardSocketOptions.SO_REUSEPORT, true)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    private static String address(SocketChannel port) throws IOException {
        return "127.0.0.1:" + ((InetSocketAddress) port.getLocalAddress()).getPort();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int descriptors() {
        String[] open =
                Path.of("/proc", Long.toString(process.pid()), "fd").toFile().list();
        maxDescriptors = Math.max(maxDescriptors, open == null ? 0 : open.length);
        return open == null ? 0 : open.length;
    }

    int maxDescriptors() {
        return maxDescriptors;
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        Files.delete(config);
        Files.delete(log);
    }
}
