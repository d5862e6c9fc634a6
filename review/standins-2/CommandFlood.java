import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some bad clients send a few hundred commands at once each, read whatever comes and go after three seconds. Beside
 * them usual clients send one request after the other, and each request has to get its final answer. Without the
 * disruption the bad clients send the same commands, each when the answer to the one before has come.
 */
final class CommandFlood {
    private static final int BAD_CLIENTS = 120;
    private static final int COMMANDS = 300;
    private static final long BAD_CLIENTS_STAY_MS = 3000;
    private static final int USUAL_CLIENTS = 10;
    private static final long WORK_MS = 50;
    private static final int WAIT_MS = 4000;
    /** The time of a request, 50 ms more on sockets, and the half second after which a late answer is lost. */
    private static final int LOST_AFTER_MS = WAIT_MS + 50 + 500;

    private static final long USUAL_TRAFFIC_MS = 15_000;
    private static final int LAST_PING_MS = 5000;

    public static void main(String[] args) {
        Rig.main(args, CommandFlood::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        for (int i = 0; i < 4; i++) {
            Rig.Backend backend = rig.new Backend("s-" + i, (command, socket) -> {
                Rig.pause(WORK_MS);
                socket.getOutputStream().write(Rig.served("value of " + Rig.text(command.get(2))));
            });
            discovery.put("s-" + i, backend.port(), 1, "up");
        }
        Rig.Gateway gateway = rig.startGateway(discovery, settings -> settings);
        Rig.pause(1000);
        List<Rig.Connection> bad = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            bad.add(gateway.connect());
        }
        AtomicInteger answered = new AtomicInteger();
        List<String> lost = new CopyOnWriteArrayList<>();
        AtomicBoolean isOver = new AtomicBoolean();
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            usual.add(Rig.daemon(() -> {
                for (int round = 0; !isOver.get(); round++) {
                    send(rig, gateway, 0x1000 + number + USUAL_CLIENTS * (round % 500), answered, lost);
                    Rig.pause(50);
                }
            }));
        }
        Rig.pause(1000);
        rig.log(BAD_CLIENTS + " bad clients begin, " + COMMANDS + " commands each; " + answered + " answers so far");
        if (answered.get() == 0) {
            throw new Rig.CannotRun("usual clients were not answered before the bad ones came");
        }
        AtomicInteger badAnswers = new AtomicInteger();
        bad.forEach(client -> sendCommands(client, trouble, badAnswers));
        Rig.pause(BAD_CLIENTS_STAY_MS);
        for (Rig.Connection client : bad) {
            client.close();
        }
        rig.log("the bad clients have gone, with " + badAnswers + " bytes of answers");
        Rig.pause(USUAL_TRAFFIC_MS - BAD_CLIENTS_STAY_MS);
        isOver.set(true);
        for (Thread client : usual) {
            client.join(2L * LOST_AFTER_MS);
        }
        String ping = ping(gateway);
        rig.log("PING on a new connection, when all clients have gone: " + ping);
        rig.log(answered + " usual requests answered, " + lost.size() + " lost");
        if (lost.isEmpty() && ping.equals("+PONG")) {
            return null;
        }
        return lost.size() + " requests of usual clients got no answer; PING afterwards: " + ping;
    }

    /** Sends one request on a connection of its own; a client sends once more what it could not deliver. */
    private static void send(
            Rig rig, Rig.Gateway gateway, long customer, AtomicInteger answered, List<String> lost) {
        String id = rig.newId();
        double sentAtMs = rig.nowMs();
        try (Rig.Connection client = gateway.connect()) {
            client.out.write(Rig.query(customer, id, "slot-status", WAIT_MS));
            sentAtMs = rig.nowMs();
            client.readAnswer(LOST_AFTER_MS);
            answered.incrementAndGet();
        } catch (IOException e) {
            rig.log(String.format("usual request %s: no answer %.0f ms after it: %s", id, rig.nowMs() - sentAtMs,
                    e.getMessage()));
            lost.add(id);
        }
    }

    private static void sendCommands(Rig.Connection client, boolean atOnce, AtomicInteger badAnswers) {
        Rig.daemon(() -> {
            if (!atOnce) {
                for (int i = 0; i < COMMANDS; i++) {
                    client.send("INFO");
                    badAnswers.addAndGet(client.readAnswer(5000).length());
                }
                return;
            }
            ByteArrayOutputStream commands = new ByteArrayOutputStream();
            for (int i = 0; i < COMMANDS; i++) {
                commands.writeBytes(Rig.command("INFO"));
            }
            client.out.write(commands.toByteArray());
            byte[] part = new byte[64 * 1024];
            for (int read = client.in.read(part); read >= 0; read = client.in.read(part)) {
                badAnswers.addAndGet(read);
            }
        });
    }

    private static String ping(Rig.Gateway gateway) {
        try (Rig.Connection front = gateway.connect()) {
            front.send("PING");
            return front.readAnswer(LAST_PING_MS);
        } catch (IOException e) {
            return "no answer within " + LAST_PING_MS + " ms";
        }
    }
}
