package opalcove.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        versionProvider = Opalcove.Version.class,
        description =
                "Shows what a gateway knows of the other gateways: name, address, incarnation and state, itself first.")
final class MembersCommand implements Callable<Integer> {
    private static final int WAIT_MS = 5000;

    @Parameters(paramLabel = "ADDRESS", description = "the gateway's console, such as 127.0.0.1:10250")
    private String console;

    @Option(names = "--json", description = "print a list of objects")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        HostAndPort at = HostAndPort.parse(console, "ADDRESS");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(at.address(), at.port()), WAIT_MS);
            socket.setSoTimeout(WAIT_MS);
            socket.getOutputStream().write("MEMBERS\n".getBytes(StandardCharsets.US_ASCII));
            BufferedReader lines =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String head = lines.readLine();
            if (head == null || !head.startsWith("+OK")) {
                throw new InvalidConfigurationException(console + " answers " + (head == null ? "nothing" : head));
            }
            print(lines.lines().toList());
        }
        return 0;
    }

    private void print(List<String> lines) throws IOException {
        if (lines.isEmpty() || !lines.get(lines.size() - 1).equals(".")) {
            throw new IOException("the answer of " + console + " is cut off");
        }
        List<String> members = lines.subList(0, lines.size() - 1);
        if (!json) {
            members.forEach(System.out::println);
            return;
        }
        JsonArray list = new JsonArray();
        for (String member : members) {
            String[] parts = member.split(" ");
            list.add(Json.object()
                    .add("name", parts[0])
                    .add("address", parts[1])
                    .add("incarnation", Long.parseLong(parts[2]))
                    .add("state", parts[3]));
        }
        System.out.println(list);
    }
}
