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
                "Shows the membership list of a gateway, with itself first: name, address, incarnation and state of"
                        + " each member.")
final class MembersCommand implements Callable<Integer> {
    private static final int TIMEOUT_MS = 5000;

    @Parameters(
            paramLabel = "ADDRESS",
            description = "the address of the gateway's admin console, such as 127.0.0.1:10250")
    private String console;

    @Option(names = "--json", description = "print a list of objects")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        HostAndPort hostAndPort = HostAndPort.parse(console, "ADDRESS");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(hostAndPort.address(), hostAndPort.port()), TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write("MEMBERS\n".getBytes(StandardCharsets.US_ASCII));
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String status = reader.readLine();
            if (status == null || !status.startsWith("+OK")) {
                throw new InvalidConfigurationException(
                        console + " responded with " + (status == null ? "nothing" : status));
            }
            print(reader.lines().toList());
        }
        return 0;
    }

    private void print(List<String> lines) throws IOException {
        if (lines.isEmpty() || !lines.get(lines.size() - 1).equals(".")) {
            throw new IOException("the response of " + console + " is incomplete");
        }
        List<String> members = lines.subList(0, lines.size() - 1);
        if (!json) {
            members.forEach(System.out::println);
            return;
        }
        JsonArray list = new JsonArray();
        for (String member : members) {
            String[] fields = member.split(" ");
            list.add(Json.object()
                    .add("name", fields[0])
                    .add("address", fields[1])
                    .add("incarnation", Long.parseLong(fields[2]))
                    .add("state", fields[3]));
        }
        System.out.println(list);
    }
}
