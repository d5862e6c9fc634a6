import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Four clients send two requests at once on their connections, wait for both answers, and go on. Each value has 100,000
 * bytes, and backends write it at once. The disruption: one in ten of these good answers is followed directly by a second
 * copy of itself. The rule: each request gets its whole final answer, and the gateway doesn't hold the rest of a value
 * back for 2 s.
 */
final class StuckPipeline {
    private static final int CLIENTS = 4;
    private static final int PAIRS = 40;
    private static final int VALUE_BYTES = 100_000;
    private static final int COPY_ONE_IN = 10;
    private static final int WAIT_MS = 3000;
    /** A request that is answered later than this after its time is lost. */
    private static final int LATE_MS = 500;

    private StuckPipeline() {}

    public static void main(String[] args) {
        Case.run(args, StuckPipeline::holds);
    }

    private static boolean holds(Rig rig, boolean trouble) throws Exception {
        AtomicInteger answers = new AtomicInteger();
        AtomicInteger copies = new AtomicInteger();
        Map<String, Long> writtenMs = new ConcurrentHashMap<>();
        for (int i = 0; i < 6; i++) {
            rig.addBackend("s-" + i, "room-" + (char) ('a' + i % 3), i % 3, command -> {
                int number = answers.incrementAndGet();
                Rig.pause(20 + number * 7 % 40);
                String answer = Rig.answer(value(command.id()));
                boolean twice = trouble && number % COPY_ONE_IN == 0;
                command.write(twice ? answer + answer : answer);
                writtenMs.put(command.id(), rig.nowMs());
                rig.log("%s ran %s and has written its whole answer%s", command.backend().name, command.id(),
                        twice ? " and a second copy" : "");
                copies.addAndGet(twice ? 1 : 0);
            });
        }
        rig.startGateway(Rig.settings("keyed", "cell"), 1024);

        AtomicInteger served = new AtomicInteger();
        AtomicInteger otherAnswers = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger behind = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Rig.daemon(() -> {
                Rig.Client client = rig.new Client();
                for (int pair = 0; pair < PAIRS; pair++) {
                    String[] ids = {Rig.newId(), Rig.newId()};
                    ByteArrayOutputStream commands = new ByteArrayOutputStream();
                    for (String id : ids) {
                        commands.writeBytes(Rig.query(
                                id, Rig.tenant(100 * number + pair), "battery-update", "flotte", WAIT_MS));
                    }
                    client.send(commands.toByteArray());
                    long sentMs = rig.nowMs();
                    rig.log("client %d sends %s and %s at once", number, ids[0], ids[1]);
                    boolean goesOn = true;
                    for (String id : ids) {
                        if (!goesOn) {
                            behind.incrementAndGet();
                            rig.log("client %d got no byte for %s, behind the one before", number, id);
                            continue;
                        }
                        int[] got = {0};
                        try {
                            String answer = read(client, sentMs + WAIT_MS + LATE_MS, rig, got);
                            boolean own = answer.equals(value(id));
                            (own ? served : otherAnswers).incrementAndGet();
                            rig.log("client %d got for %s: %s", number, id,
                                    own ? "its value" : answer.substring(0, Math.min(60, answer.length())));
                        } catch (IOException e) {
                            goesOn = false;
                            lost.incrementAndGet();
                            Long written = writtenMs.get(id);
                            rig.log("LOST: client %d has no whole answer for %s %d ms after it was sent, but %d bytes of"
                                            + " its value; its backend had written all of it %s: %s",
                                    number, id, rig.nowMs() - sentMs, got[0],
                                    written == null ? "never" : rig.nowMs() - written + " ms before", e);
                        }
                    }
                    if (!goesOn) {
                        client.close();
                        client = rig.new Client();
                    }
                }
                client.close();
            }));
            Rig.pause(13);
        }
        for (Thread each : clients) {
            each.join();
        }
        String result = "second copies " + copies + "; requests served " + served + ", refused or failed "
                + otherAnswers + ", without a whole answer " + lost + ", behind such a one " + behind;
        rig.log(result);
        System.out.println(result);
        if (!rig.gatewayRuns() || served.get() < CLIENTS * PAIRS / 4 || trouble && copies.get() < 10) {
            throw new Case.CouldNotRun("too little was served to judge");
        }
        return lost.get() == 0;
    }

    /** Reads one answer until the given time; counts the bytes of the value that came. */
    private static String read(Rig.Client client, long untilMs, Rig rig, int[] got) throws IOException {
        client.socket.setSoTimeout((int) Math.max(1, untilMs - rig.nowMs()));
        String line = Rig.readLine(client.in);
        if (!line.startsWith("$")) {
            return line;
        }
        byte[] value = new byte[Integer.parseInt(line.substring(1))];
        while (got[0] < value.length) {
            client.socket.setSoTimeout((int) Math.max(1, untilMs - rig.nowMs()));
            int read = client.in.read(value, got[0], value.length - got[0]);
            if (read < 0) {
                throw new IOException("the connection ended");
            }
            got[0] += read;
        }
        client.socket.setSoTimeout((int) Math.max(1, untilMs - rig.nowMs()));
        Rig.readLine(client.in);
        return new String(value, java.nio.charset.StandardCharsets.ISO_8859_1);
    }

    private static String value(String id) {
        return id + "v".repeat(VALUE_BYTES - id.length());
    }
}
