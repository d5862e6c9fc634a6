import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs two simple backends and a discovery service on loopback, to try out the gateway.
 *
 * <pre>
 * java example/ToyServer.java                   serves on the ports of example/config.json until it is stopped
 * java example/ToyServer.java try COMMAND ...   on free ports: starts the gateway by COMMAND, sends requests, stops it
 * </pre>
 */
public final class ToyServer {
    private static final Path CONFIG = Path.of("example/config.json");
    private static final int REQUEST_COUNT = 400;

    private final ServerSocket discovery;
    private final ServerSocket[] backends;

    private ToyServer(boolean useFreePorts) throws IOException {
        discovery = listen(useFreePorts ? 0 : 7101);
        backends = new ServerSocket[] {listen(useFreePorts ? 0 : 7102), listen(useFreePorts ? 0 : 7103)};
        serve(discovery, this::discover);
        for (ServerSocket backend : backends) {
            serve(backend, ToyServer::handleCommands);
        }
    }

    public static void main(String[] args) throws Exception {
        if (args.length == 0) {
            new ToyServer(false);
            System.out.println("discovery on 127.0.0.1:7101, backends on 7102 and 7103");
            Thread.currentThread().join();
        }
        if (args.length < 2 || !args[0].equals("try")) {
            System.err.println("usage: java example/ToyServer.java [try COMMAND ...]");
            System.exit(2);
        }
        System.exit(new ToyServer(true).tryGateway(Arrays.asList(args).subList(1, args.length)));
    }

    private static ServerSocket listen(int port) throws IOException {
        return new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
    }

    private interface ConnectionHandler {
        void handle(InputStream in, OutputStream out) throws IOException;
    }

    private static void serve(ServerSocket server, ConnectionHandler handler) {
        startDaemon(() -> {
            while (true) {
                Socket socket = server.accept();
                startDaemon(() -> {
                    try (socket) {
                        handler.handle(new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                    }
                });
            }
        });
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startDaemon(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The peer has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Discovery: returns the complete list at once; a watch returns no change after 1 s, as the list is constant. */
    private void discover(InputStream in, OutputStream out) throws IOException {
        while (true) {
            String requestLine = readLine(in);
            while (!readLine(in).isEmpty()) {
                // Skips the headers.
            }
            boolean watch = requestLine.contains("since=");
            StringBuilder list = new StringBuilder();
            for (int i = 0; i < backends.length && !watch; i++) {
                list.append(i == 0 ? "" : ",")
                        .append("{\"name\":\"toy-")
                        .append(i)
                        .append("\",\"address\":\"127.0.0.1:")
                        .append(backends[i].getLocalPort())
                        .append("\",\"zone\":\"room-a\",\"type\":\"std-3\",\"group\":1,")
                        .append("\"status\":\"up\",\"weight\":1.0,\"since_ms\":0}");
            }
            if (watch) {
                pause(1000);
            }
            byte[] body = ("{\"index\":1,\"snapshot\":" + !watch + ",\"endpoints\":[" + list + "]}")
                    .getBytes(StandardCharsets.UTF_8);
            out.write(
                    ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            out.write(body);
            out.flush();
        }
    }

    /** A backend: works for 5 ms, then replies with the value, its usage figures and a load report. */
    private static void handleCommands(InputStream in, OutputStream out) throws IOException {
        while (true) {
            List<String> arguments = readCommand(in);
            pause(5);
            String value = "done " + arguments.get(2);
            out.write(("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$14\r\nused=12,cost=1\r\n$8\r\nsvc_ms=5\r\n")
                    .getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    private static void pause(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int character = in.read(); character != '\n'; character = in.read()) {
            if (character < 0) {
                throw new EOFException();
            }
            line.append((char) character);
        }
        return line.toString().strip();
    }

    private static List<String> readCommand(InputStream in) throws IOException {
        List<String> arguments = new ArrayList<>();
        for (int remaining = Integer.parseInt(readLine(in).substring(1)); remaining > 0; remaining--) {
            byte[] argument = in.readNBytes(Integer.parseInt(readLine(in).substring(1)));
            readLine(in);
            arguments.add(new String(argument, StandardCharsets.UTF_8));
        }
        return arguments;
    }

    /** Starts the gateway, sends requests over one connection, prints the first responses and stops it by SIGTERM. */
    private int tryGateway(List<String> command) throws Exception {
        int port;
        try (ServerSocket free = listen(0)) {
            port = free.getLocalPort();
        }
        Path config = Files.createTempFile("toy", ".json");
        Files.writeString(
                config,
                Files.readString(CONFIG)
                        .replace("127.0.0.1:7100", "127.0.0.1:" + port)
                        .replace("127.0.0.1:7101", "127.0.0.1:" + discovery.getLocalPort()));
        ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
        builder.environment().put("GW_CONFIG", config.toString());
        Process gateway = builder.start();
        try {
            int served = sendRequests(gateway, port);
            System.out.println(served + " of " + REQUEST_COUNT + " requests served");
            gateway.destroy();
            boolean ended = gateway.waitFor(30, TimeUnit.SECONDS);
            System.out.println(ended ? "the gateway ended with " + gateway.exitValue() : "the gateway did not end");
            return ended && served > 0 && gateway.exitValue() == 0 ? 0 : 1;
        } finally {
            gateway.destroyForcibly();
            Files.delete(config);
        }
    }

    private static int sendRequests(Process gateway, int port) throws IOException {
        int served = 0;
        try (Socket client = connect(gateway, port)) {
            InputStream in = new BufferedInputStream(client.getInputStream());
            OutputStream out = client.getOutputStream();
            for (int i = 0; i < REQUEST_COUNT; i++) {
                boolean record = i % 3 == 0;
                String attributes = (record ? "c=swap-record,k=5c0f6e1a2b3d4c59" : "c=slot-status")
                        + ",t=flotte,d=2000,units=1,spread=1,first=0";
                String[] arguments = {
                    record ? "SVC.SUBMIT" : "SVC.QUERY",
                    String.format("%016x", i % 40),
                    String.format("%016x", i),
                    attributes,
                    "one battery for another"
                };
                StringBuilder bytes = new StringBuilder("*" + (record ? 5 : 4) + "\r\n");
                for (String argument : Arrays.asList(arguments).subList(0, record ? 5 : 4)) {
                    bytes.append('$')
                            .append(argument.length())
                            .append("\r\n")
                            .append(argument)
                            .append("\r\n");
                }
                out.write(bytes.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
                String response = readLine(in);
                if (response.startsWith("$")) {
                    served++;
                    response = readLine(in);
                }
                if (i < 3) {
                    System.out.println(attributes + " -> " + response);
                }
            }
        }
        return served;
    }

    private static Socket connect(Process gateway, int port) throws IOException {
        for (int attempts = 0; gateway.isAlive() && attempts < 300; attempts++) {
            try {
                return new Socket("127.0.0.1", port);
            } catch (IOException e) {
                pause(50);
            }
        }
        throw new IOException("the gateway does not listen on 127.0.0.1:" + port);
    }
}
