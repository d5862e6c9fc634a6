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

/** Tests the program in a process with few descriptors, while idle clients take as many of them as they can. */
public class DescriptorLimitTest {
    private static final int LIMIT = 256;
    /** The number of idle connections; more than the limit and less than the kernel's backlog. */
    private static final int IDLE_CONNECTIONS = 400;

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /**
     * Discovery stops, and idle clients connect and stay: requests must still be served. Discovery returns with another
     * backend: the gateway must receive its list and connect to the new backend.
     */
    @Test
    public void reachesDiscoveryAndNewBackendWhileIdleClientsHoldTheirShare() throws Exception {
        try (Backend first = new Backend();
                Backend second = new Backend();
                Discovery discovery = new Discovery();
                SocketChannel port = reservedPort()) {
            discovery.list = listOf(1, endpoint("first", first, "up"));
            try (GatewayProcess gateway = new GatewayProcess(port, discovery)) {
                Client client = new Client(port);
                waitUntil("the first request is served", gateway, client::requestsAndIsServed);
                discovery.stop();
                try (IdleClients idleClients = new IdleClients(port)) {
                    waitUntil(
                            "the idle clients have filled their share",
                            gateway,
                            () -> gateway.descriptors() > LIMIT / 3);
                    assertTrue(idleClients.thread.isAlive());
                    for (int i = 0; i < 20; i++) {
                        waitUntil(
                                "requests are served while idle clients are connected",
                                gateway,
                                client::requestsAndIsServed);
                    }
                    discovery.restart(
                            listOf(2, endpoint("first", first, "draining"), endpoint("second", second, "up")));
                    waitUntil("discovery is reached again", gateway, () -> discovery.lists.get() > 0);
                    waitUntil(
                            "the new backend serves",
                            gateway,
                            () -> client.requestsAndIsServed() && second.served.get() > 0);
                    assertTrue(
                            gateway.maxDescriptors <= LIMIT - DescriptorBudget.COUNTER_SHARE,
                            "descriptors: " + gateway.maxDescriptors);
                    assertFalse(gateway.log().contains("Too many open files"), gateway.log());
                    waitUntil(
                            "idle connections are closed and counted",
                            gateway,
                            () -> client.metric("connections_closed_for_descriptors") > 0);
                }
            }
        }
    }

    private static void waitUntil(String state, GatewayProcess gateway, Callable<Boolean> reached) throws Exception {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        while (!reached.call()) {
            gateway.descriptors();
            assertTrue(gateway.process.isAlive(), "the gateway has exited: " + gateway.log());
            assertTrue(System.nanoTime() < end, "not reached: " + state + "\n" + gateway.log());
            Thread.sleep(5);
        }
    }

    private static String listOf(int index, String... lines) {
        return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", lines) + "]}";
    }

    private static String endpoint(String name, Backend backend, String status) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + backend.port() + "\",\"zone\":\"room-a\","
                + "\"type\":\"app\",\"group\":0,\"status\":\"" + status + "\",\"weight\":1,\"since_ms\":0}";
    }

    /** Reserves a port: it is bound here without listening, so that no other process gets it. */
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
        /** The largest number of descriptors seen so far. */
        private int maxDescriptors;

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
            maxDescriptors = Math.max(maxDescriptors, open == null ? 0 : open.length);
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

    /** A server that handles each connection on a thread of its own; closing the server resets them. */
    private abstract static class Server implements Closeable {
        private final ServerSocket server = new ServerSocket(0, 512, LOOPBACK);
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server() throws IOException {
            startDaemon(() -> {
                while (true) {
                    Socket socket = server.accept();
                    open.add(socket);
                    startDaemon(() -> {
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

        private interface Task {
            void run() throws Exception;
        }

        private static void startDaemon(Task task) {
            Thread thread = new Thread(() -> {
                try {
                    task.run();
                } catch (Exception closed) {
                    // The connection or the server was closed.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** A backend that serves every request immediately. */
    private static final class Backend extends Server {
        private final AtomicInteger served = new AtomicInteger();

        Backend() throws IOException {}

        @Override
        void serve(Socket socket, InputStream in) throws Exception {
            while (true) {
                for (int parts = Integer.parseInt(readLine(in).substring(1)); parts > 0; parts--) {
                    in.readNBytes(Integer.parseInt(readLine(in).substring(1)) + 2);
                }
                served.incrementAndGet();
                write(socket, "*3\r\n$4\r\ndone\r\n$-1\r\n$-1\r\n");
            }
        }
    }

    /**
     * Discovery that responds to a call with the complete list, and to a watch once there is a newer list. While it is
     * stopped it closes every connection.
     */
    private static final class Discovery extends Server {
        /** Null while it is stopped. */
        private volatile String list;
        /** The number of lists sent since the restart. */
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
                String call = readLine(in);
                while (!readLine(in).isEmpty()) {
                    // Skips the headers.
                }
                String known = call.replaceFirst(".*since=(\\d+).*", "\"index\":$1,");
                while (list != null && list.contains(known)) {
                    Thread.sleep(1);
                }
                String response = list;
                if (response == null) {
                    return;
                }
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + response.length() + "\r\n\r\n" + response);
                lists.incrementAndGet();
            }
        }
    }

    /** A client that sends requests on one connection until that is closed, and then on a new one. */
    private static final class Client {
        private final SocketChannel port;
        private Socket socket;
        private int number;

        Client(SocketChannel port) {
            this.port = port;
        }

        /** Sends a request, on a new connection if necessary; returns whether it was served. */
        boolean requestsAndIsServed() throws IOException {
            return "done".equals(response(RespTestBed.query(++number, 4000)));
        }

        int metric(String name) throws IOException {
            String lines = response(RespTestBed.encodeCommand("INFO"));
            return lines == null
                    ? 0
                    : lines.lines()
                            .filter(line -> line.startsWith(name + "="))
                            .mapToInt(line -> Integer.parseInt(line.substring(name.length() + 1)))
                            .sum();
        }

        private String response(String command) throws IOException {
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

    /** Idle connections that are opened again whenever they are closed. */
    private static final class IdleClients implements Closeable {
        private static final long RECONNECT_DELAY_MS = 100;
        private final List<SocketChannel> idle = new ArrayList<>();
        private final Thread thread;

        IdleClients(SocketChannel port) {
            thread = new Thread(() -> {
                try {
                    while (true) {
                        replaceClosedConnections(port);
                        Thread.sleep(RECONNECT_DELAY_MS);
                    }
                } catch (IOException | InterruptedException closed) {
                    // The idle clients were closed at the end of the test.
                }
            });
            thread.start();
        }

        private void replaceClosedConnections(SocketChannel port) throws IOException {
            for (SocketChannel each : List.copyOf(idle)) {
                if (hasEnded(each)) {
                    each.close();
                    idle.remove(each);
                }
            }
            while (idle.size() < IDLE_CONNECTIONS) {
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

    private static String readLine(InputStream in) throws IOException {
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
