package opalcove.server;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import opalcove.TestSettings;
import opalcove.resp.RespTestBed;
import org.testng.annotations.Test;

/** The program in a process of its own that may hold few descriptors, while idle clients take all that they can get. */
public class DescriptorLimitTest {
    private static final int LIMIT = 256;
    /** Idle connections, more than the limit and less than the kernel's backlog. */
    private static final int CROWD = 400;

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /**
     * Discovery goes away, the crowd comes and stays: requests are still served. Discovery comes back with another backend:
     * it is heard, and the new backend is dialled.
     */
    @Test
    public void aCrowdOfIdleClientsKeepsNeitherDiscoveryNorANewBackendAway() throws Exception {
        try (Backend first = new Backend();
                Backend second = new Backend();
                Discovery discovery = new Discovery();
                SocketChannel port = reservedPort()) {
            discovery.list = list(1, line("first", first, "up"));
            try (GatewayProcess gateway = new GatewayProcess(port, discovery)) {
                Client client = new Client(port);
                until("a first request is served", gateway, client::requestsAndIsServed);
                discovery.stop();
                try (Crowd crowd = new Crowd(port)) {
                    until("the crowd has filled its share", gateway, () -> gateway.descriptors() > LIMIT / 3);
                    assertTrue(crowd.thread.isAlive());
                    for (int i = 0; i < 20; i++) {
                        until("requests are served beside the crowd", gateway, client::requestsAndIsServed);
                    }
                    discovery.restart(list(2, line("first", first, "draining"), line("second", second, "up")));
                    until("discovery is reached again", gateway, () -> discovery.lists.get() > 0);
                    until(
                            "the new backend serves",
                            gateway,
                            () -> client.requestsAndIsServed() && second.served.get() > 0);
                    assertTrue(gateway.max <= LIMIT - DescriptorBudget.COUNTER, "descriptors: " + gateway.max);
                    assertFalse(gateway.log().contains("Too many open files"), gateway.log());
                    until(
                            "idle connections were closed, and counted",
                            gateway,
                            () -> client.figure("connections_closed_for_descriptors") > 0);
                }
            }
        }
    }

    private static void until(String state, GatewayProcess gateway, Callable<Boolean> reached) throws Exception {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        while (!reached.call()) {
            gateway.descriptors();
            assertTrue(gateway.process.isAlive(), "the gateway has ended: " + gateway.log());
            assertTrue(System.nanoTime() < end, "not reached: " + state + "\n" + gateway.log());
            Thread.sleep(5);
        }
    }

    private static String list(int index, String... lines) {
        return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", lines) + "]}";
    }

    private static String line(String name, Backend backend, String status) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + backend.port() + "\",\"zone\":\"room-a\","
                + "\"type\":\"app\",\"group\":0,\"status\":\"" + status + "\",\"weight\":1,\"since_ms\":0}";
    }

    /** A port that no other process is given: it is bound here and not listened at. */
    private static SocketChannel reservedPort() throws IOException {
        return SocketChannel.open()
                .setOption(StandardSocketOptions.SO_REUSEPORT, true)
                .bind(new InetSocketAddress(LOOPBACK, 0));
    }

    /** The program, started by a shell that sets its limit of descriptors. */
    private static final class GatewayProcess implements Closeable {
        private final Path config = Files.createTempFile("config", ".json");
        private final Path log = Files.createTempFile("gateway", ".log");
        private final Process process;
        /** The most descriptors that it was seen to hold. */
        private int max;

        GatewayProcess(SocketChannel port, Discovery discovery) throws IOException {
            Files.writeString(
                    config,
                    "{\"name\":\"n0\",\"listen\":\"" + address(port) + "\",\"discovery\":\"127.0.0.1:"
                            + discovery.port() + "\",\"rehearsal_ms\":0,\"limits\":{\"sockets\":" + LIMIT
                            + "},\"settings\":" + TestSettings.JSON.replace("\"max_open\":4", "\"max_open\":1000")
                            + "}");
            ProcessBuilder builder = new ProcessBuilder(
                            "sh",
                            "-c",
                            "ulimit -n " + LIMIT + " && exec \"$@\"",
                            "sh",
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            "opalcove.Main",
                            "serve")
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile());
            builder.environment().put("GW_CONFIG", config.toString());
            process = builder.start();
        }

        int descriptors() {
            String[] open = Path.of("/proc", Long.toString(process.pid()), "fd")
                    .toFile()
                    .list();
            max = Math.max(max, open == null ? 0 : open.length);
            return open == null ? 0 : open.length;
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

    private static String address(SocketChannel port) throws IOException {
        return "127.0.0.1:" + ((InetSocketAddress) port.getLocalAddress()).getPort();
    }

    /** Serves each of its connections on a thread of its own; closing it resets them. */
    private abstract static class Server implements Closeable {
        private final ServerSocket server = new ServerSocket(0, 512, LOOPBACK);
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server() throws IOException {
            daemon(() -> {
                while (true) {
                    Socket socket = server.accept();
                    open.add(socket);
                    daemon(() -> {
                        try (socket) {
                            serve(socket, new BufferedInputStream(socket.getInputStream()));
                        } finally {
                            open.remove(socket);
                        }
                    });
                }
            });
        }

        abstract void serve(Socket socket, InputStream in) throws Exception;

        int port() {
            return server.getLocalPort();
        }

        void reset() throws IOException {
            for (Socket each : open) {
                each.close();
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            reset();
        }

        private interface Work {
            void run() throws Exception;
        }

        private static void daemon(Work work) {
            Thread thread = new Thread(() -> {
                try {
                    work.run();
                } catch (Exception ended) {
                    // Its connection, or the server, was closed.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** A backend that serves every request at once. */
    private static final class Backend extends Server {
        private final AtomicInteger served = new AtomicInteger();

        Backend() throws IOException {}

        @Override
        void serve(Socket socket, InputStream in) throws Exception {
            while (true) {
                for (int words = Integer.parseInt(line(in).substring(1)); words > 0; words--) {
                    in.readNBytes(Integer.parseInt(line(in).substring(1)) + 2);
                }
                served.incrementAndGet();
                write(socket, "*3\r\n$4\r\ndone\r\n$-1\r\n$-1\r\n");
            }
        }
    }

    /** Discovery: the whole list for each call, a watch once there is a newer one; away, it closes whatever comes. */
    private static final class Discovery extends Server {
        /** Null while it is away. */
        private volatile String list;
        /** Lists given since it came back. */
        private final AtomicInteger lists = new AtomicInteger();

        Discovery() throws IOException {}

        void stop() throws IOException {
            list = null;
            reset();
        }

        void restart(String newer) {
            lists.set(0);
            list = newer;
        }

        @Override
        void serve(Socket socket, InputStream in) throws Exception {
            while (true) {
                String call = line(in);
                while (!line(in).isEmpty()) {
                    // The call's headers.
                }
                String known = call.replaceFirst(".*since=(\\d+).*", "\"index\":$1,");
                while (list != null && list.contains(known)) {
                    Thread.sleep(1);
                }
                String answer = list;
                if (answer == null) {
                    return;
                }
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + answer.length() + "\r\n\r\n" + answer);
                lists.incrementAndGet();
            }
        }
    }

    /** A client that asks on one connection for as long as that is kept, and then on another. */
    private static final class Client {
        private final SocketChannel port;
        private Socket socket;
        private int number;

        Client(SocketChannel port) {
            this.port = port;
        }

        /** Whether the connection was kept, or made, and the request served on it. */
        boolean requestsAndIsServed() throws IOException {
            return "done".equals(answer(RespTestBed.query(++number, 4000)));
        }

        int figure(String name) throws IOException {
            String lines = answer(RespTestBed.encodeCommand("INFO"));
            return lines == null
                    ? 0
                    : lines.lines()
                            .filter(line -> line.startsWith(name + "="))
                            .mapToInt(line -> Integer.parseInt(line.substring(name.length() + 1)))
                            .sum();
        }

        private String answer(String command) throws IOException {
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(port.getLocalAddress(), 5000);
                    socket.setSoTimeout(10_000);
                }
                write(socket, command);
                return RespTestBed.readReply(socket);
            } catch (Exception closed) {
                socket.close();
                socket = null;
                return null;
            }
        }
    }

    /** Connections that are opened and never used, and opened again when they were closed. */
    private static final class Crowd implements Closeable {
        private static final long AGAIN_MS = 100;
        private final List<SocketChannel> idle = new ArrayList<>();
        private final Thread thread;

        Crowd(SocketChannel port) {
            thread = new Thread(() -> {
                try {
                    while (true) {
                        stay(port);
                        Thread.sleep(AGAIN_MS);
                    }
                } catch (IOException | InterruptedException over) {
                    // The test is over.
                }
            });
            thread.start();
        }

        private void stay(SocketChannel port) throws IOException {
            for (SocketChannel each : List.copyOf(idle)) {
                if (hasEnded(each)) {
                    each.close();
                    idle.remove(each);
                }
            }
            while (idle.size() < CROWD) {
                SocketChannel next = SocketChannel.open();
                next.configureBlocking(false);
                next.connect(port.getLocalAddress());
                idle.add(next);
            }
        }

        private static boolean hasEnded(SocketChannel connection) {
            try {
                return connection.finishConnect() && connection.read(ByteBuffer.allocate(1)) < 0;
            } catch (IOException reset) {
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            thread.interrupt();
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            for (SocketChannel each : idle) {
                each.close();
            }
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int each = in.read(); each != '\n'; each = in.read()) {
            if (each < 0) {
                throw new EOFException();
            }
            line.append((char) each);
        }
        return line.substring(0, line.length() - 1);
    }
}
