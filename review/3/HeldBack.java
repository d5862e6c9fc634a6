import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One client sends two requests at once, whose values have 4,000,000 bytes, and reads the answers; sixteen other clients send
 * one request at a time, whose values have 200,000 bytes. The disruption: peers are slow. The first client takes 3 s to
 * read a value, and backends write the answers of the others in four pieces, 150 ms between two. The rule: each request
 * gets its whole final answer, and the gateway doesn't hold the rest of a value back for 2 s.
 */
final class HeldBack {
    private static final int RUN_MS = 60_000;
    private static final int LONG_BYTES = 4_000_000;
    private static final int OTHER_BYTES = 200_000;
    private static final int OTHERS = 16;
    private static final int READ_STEPS = 30;
    private static final int READ_PAUSE_MS = 100;
    private static final int PIECES = 4;
    private static final int PIECE_PAUSE_MS = 150;
    private static final int WAIT_MS = 5000;
    /** "Holds the rest back for 2 s"; twice that, to be sure. */
    private static final int HELD_MS = 4000;

    private HeldBack() {}

    public static void main(String[] args) {
        Case.run(args, HeldBack::holds);
    }

    private static boolean holds(Rig rig, boolean trouble) throws Exception {
        Set<String> longIds = ConcurrentHashMap.newKeySet();
        Map<String, Long> writtenMs = new ConcurrentHashMap<>();
        for (int i = 0; i < 6; i++) {
            rig.addBackend("s-" + i, "room-" + (char) ('a' + i % 3), i % 3, command -> {
                Rig.pause(20);
                boolean isLong = longIds.contains(command.id());
                String answer = Rig.answer(value(command.id(), isLong ? LONG_BYTES : OTHER_BYTES));
                int pieces = trouble && !isLong ? PIECES : 1;
                for (int piece = 0; piece < pieces; piece++) {
                    command.write(answer.substring(
                            (int) ((long) answer.length() * piece / pieces),
                            (int) ((long) answer.length() * (piece + 1) / pieces)));
                    if (piece < pieces - 1) {
                        Rig.pause(PIECE_PAUSE_MS);
                    }
                }
                writtenMs.put(command.id(), rig.nowMs());
                rig.log("%s ran %s and has written its whole answer", command.backend().name, command.id());
            });
        }
        rig.startGateway(Rig.settings("keyed", "cell"), 1024);

        AtomicInteger servedLong = new AtomicInteger();
        AtomicInteger servedOther = new AtomicInteger();
        AtomicInteger otherEnds = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger behind = new AtomicInteger();
        long untilMs = rig.nowMs() + RUN_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < OTHERS; i++) {
            int number = i;
            clients.add(Rig.daemon(() -> {
                for (int n = 0; rig.nowMs() < untilMs; n++) {
                    try (Rig.Client client = rig.new Client()) {
                        for (; rig.nowMs() < untilMs; n++) {
                            String id = Rig.newId();
                            client.send(Rig.query(
                                    id, Rig.tenant(1000 * number + n % 900), "slot-status", "flotte", 3500));
                            boolean own = client.read(6000).equals(value(id, OTHER_BYTES));
                            (own ? servedOther : otherEnds).incrementAndGet();
                            rig.log("client %d got for %s %s", number, id, own ? "its value" : "another answer");
                            Rig.pause(30);
                        }
                    } catch (IOException e) {
                        otherEnds.incrementAndGet();
                        rig.log("client %d: %s", number, e);
                    }
                }
            }));
        }
        for (int n = 0; rig.nowMs() < untilMs; n++) {
            String[] ids = {Rig.newId(), Rig.newId()};
            ByteArrayOutputStream commands = new ByteArrayOutputStream();
            for (String id : ids) {
                longIds.add(id);
                commands.writeBytes(Rig.query(id, Rig.tenant(9000 + n), "battery-update", "flotte", WAIT_MS));
            }
            try (Rig.Client client = rig.new Client(8192)) {
                client.send(commands.toByteArray());
                rig.log("the slow client sends %s and %s at once", ids[0], ids[1]);
                boolean goesOn = true;
                for (String id : ids) {
                    if (!goesOn) {
                        behind.incrementAndGet();
                        rig.log("the slow client got no byte for %s, behind the one before", id);
                        continue;
                    }
                    goesOn = readOne(rig, client, id, trouble, servedLong, otherEnds, lost, writtenMs);
                }
            } catch (IOException e) {
                otherEnds.incrementAndGet();
                rig.log("the slow client: %s", e);
            }
            Rig.pause(30);
        }
        for (Thread each : clients) {
            each.join();
        }
        String result = "served " + servedLong + " long and " + servedOther + " other values, refused, failed or cut "
                + otherEnds + ", without a whole answer " + lost + ", behind such a one " + behind;
        rig.log(result);
        System.out.println(result);
        if (!rig.gatewayRuns() || servedOther.get() < 100 || servedLong.get() + lost.get() < 3) {
            throw new Case.CouldNotRun("too little was served to judge");
        }
        return lost.get() == 0;
    }

    /** Reads one answer; returns false if its rest was held back, so that nothing more is to come. */
    private static boolean readOne(
            Rig rig,
            Rig.Client client,
            String id,
            boolean slow,
            AtomicInteger served,
            AtomicInteger otherEnds,
            AtomicInteger lost,
            Map<String, Long> writtenMs)
            throws IOException {
        client.socket.setSoTimeout(WAIT_MS + 3000);
        String line = Rig.readLine(client.in);
        if (!line.startsWith("$")) {
            otherEnds.incrementAndGet();
            rig.log("the slow client got for %s: %s", id, line);
            return true;
        }
        int length = Integer.parseInt(line.substring(1));
        byte[] value = new byte[length];
        for (int got = 0; got < length; ) {
            int read = client.in.readNBytes(value, got, Math.min(length - got, length / READ_STEPS + 1));
            if (read == 0) {
                throw new IOException("the connection ended within a value");
            }
            got += read;
            if (slow) {
                Rig.pause(READ_PAUSE_MS);
            }
        }
        long readMs = rig.nowMs();
        boolean own = new String(value, StandardCharsets.ISO_8859_1).equals(value(id, LONG_BYTES));
        client.socket.setSoTimeout(HELD_MS);
        try {
            Rig.readLine(client.in);
        } catch (java.net.SocketTimeoutException e) {
            lost.incrementAndGet();
            Long written = writtenMs.get(id);
            rig.log("LOST: the slow client has all %d bytes of the value for %s, but not the end of the answer %d ms"
                            + " after the last of them; the backend had written all of it %s",
                    length, id, rig.nowMs() - readMs, written == null ? "never" : rig.nowMs() - written + " ms before");
            return false;
        }
        (own ? served : otherEnds).incrementAndGet();
        rig.log("the slow client got for %s %s", id, own ? "its value" : "another value");
        return true;
    }

    private static String value(String id, int bytes) {
        StringBuilder value = new StringBuilder(bytes + 16);
        while (value.length() < bytes) {
            value.append(id);
        }
        return value.substring(0, bytes);
    }
}
