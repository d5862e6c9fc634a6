import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send one request at a time; backends answer with values of 20,000 or 200,000 bytes in five pieces. The
 * disruption: a backend takes 1.6 s to write an answer, 400 ms between two pieces. The rule: the gateway doesn't cut off
 * what the backend still gives. It is judged on the values over 64 KiB; what comes of the others is in the record only.
 */
final class SlowAnswer {
    private static final int CLIENTS = 6;
    private static final int REQUESTS = 4;
    private static final int SHORT_BYTES = 20_000;
    private static final int LONG_BYTES = 200_000;
    private static final int PIECES = 5;
    /** The first piece of an answer with a long value, which ends within its head. */
    private static final int FIRST_PIECE_BYTES = 8;
    private static final int PAUSE_MS = 400;
    private static final int WAIT_MS = 7000;

    private SlowAnswer() {}

    public static void main(String[] args) {
        Case.run(args, SlowAnswer::holds);
    }

    private static boolean holds(Rig rig, boolean trouble) throws Exception {
        Set<String> cutShort = ConcurrentHashMap.newKeySet();
        Set<String> open = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 6; i++) {
            rig.addBackend("s-" + i, "room-" + (char) ('a' + i % 3), i % 3, command -> {
                Rig.pause(30);
                String id = command.id();
                String answer = Rig.answer(value(id, command.word(3).startsWith("c=swap-record")));
                int[] ends = pieceEnds(answer.length());
                rig.log("%s ran %s and answers with %d bytes", command.backend().name, id, answer.length());
                for (int piece = 0, from = 0; piece < PIECES; from = ends[piece++]) {
                    command.write(answer.substring(from, ends[piece]));
                    if (trouble && piece < PIECES - 1 && !command.waitWhileOpen(PAUSE_MS)) {
                        boolean waits = open.contains(id);
                        rig.log("%s: the gateway closed the connection after piece %d of %d for %s, the client %s",
                                command.backend().name, piece + 1, PIECES, id, waits ? "still waits" : "has its end");
                        if (waits) {
                            cutShort.add(id);
                        }
                        throw new IOException("cut off");
                    }
                }
                rig.log("%s wrote the last piece for %s", command.backend().name, id);
            });
        }
        rig.startGateway(Rig.settings("unsafe", "all"), 1024);

        Map<String, Integer> ends = new TreeMap<>();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Rig.daemon(() -> {
                for (int n = 0; n < REQUESTS; n++) {
                    String id = Rig.newId();
                    boolean swap = (number + n) % 2 == 0;
                    String end;
                    try (Rig.Client client = rig.new Client()) {
                        open.add(id);
                        rig.log("client %d sends %s, whose value has %d bytes",
                                number, id, swap ? LONG_BYTES : SHORT_BYTES);
                        client.send(swap
                                ? Rig.submit(id, Rig.tenant(number), "flotte", WAIT_MS, false, "swap")
                                : Rig.query(id, Rig.tenant(number), "battery-update", "flotte", WAIT_MS));
                        String answer = client.read(WAIT_MS + 1000);
                        end = answer.equals(value(id, swap)) ? "served"
                                : answer.startsWith("-") ? answer.split(" ")[0] : "another value";
                    } catch (IOException e) {
                        end = e.toString();
                    }
                    open.remove(id);
                    Rig.pause(50);
                    boolean cut = cutShort.contains(id);
                    if (end.equals("served")) {
                        served.incrementAndGet();
                    } else if (cut && swap) {
                        lost.incrementAndGet();
                    }
                    rig.log("client %d got for %s: %s%s", number, id, end,
                            !cut || end.equals("served") ? ""
                                    : (swap ? "; LOST" : "; not judged") + ", the gateway cut off its answer");
                    synchronized (ends) {
                        ends.merge((swap ? "long: " : "short: ") + end + (cut ? " (cut off)" : ""), 1, Integer::sum);
                    }
                }
            }));
        }
        for (Thread each : clients) {
            each.join();
        }
        String result = "served " + served + ", lost (values over 64 KiB) " + lost + "; ends: " + ends;
        rig.log(result);
        System.out.println(result);
        if (!rig.gatewayRuns() || served.get() + lost.get() == 0) {
            throw new Case.CouldNotRun("nothing was answered");
        }
        return lost.get() == 0;
    }

    private static String value(String id, boolean swap) {
        return id + "v".repeat((swap ? LONG_BYTES : SHORT_BYTES) - id.length());
    }

    /** Where the pieces of an answer end: equal ones for a short value, a small one first for a long value. */
    private static int[] pieceEnds(int length) {
        int[] ends = new int[PIECES];
        for (int piece = 0; piece < PIECES; piece++) {
            ends[piece] = length < LONG_BYTES
                    ? length * (piece + 1) / PIECES
                    : FIRST_PIECE_BYTES + (length - FIRST_PIECE_BYTES) / (PIECES - 1) * piece;
        }
        ends[PIECES - 1] = length;
        return ends;
    }
}
