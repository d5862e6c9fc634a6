import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An operator calls DRAIN while one connection carries requests of many customers, one behind another: the next one is
 * sent before the answer to the one before has come. 4 s after the call that connection must not be open with a request
 * of the last 2 s. Without the disruption each request is sent when the answer to the one before has come.
 */
final class DrainPipeline {
    private static final long WORK_MS = 200;
    private static final long BETWEEN_REQUESTS_MS = 100;
    private static final int WAIT_MS = 4000;
    private static final double DRAIN_AFTER_MS = 2000;
    /** The time that the rule allows, and the 50 ms by which every limit is longer on sockets. */
    private static final double ALLOWED_MS = 4050;

    public static void main(String[] args) {
        Rig.main(args, DrainPipeline::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        for (int i = 0; i < 4; i++) {
            Rig.Backend backend = rig.new Backend("s-" + i, (command, socket) -> {
                String id = Rig.text(command.get(2));
                rig.log("backend runs " + id);
                Rig.pause(WORK_MS);
                socket.getOutputStream().write(Rig.served("value of " + id));
            });
            discovery.put("s-" + i, backend.port(), 1, "up");
        }
        Rig.Gateway gateway = rig.startGateway(discovery, settings -> settings);
        Rig.pause(1000);
        AtomicInteger answers = new AtomicInteger();
        Rig.Connection client = gateway.connect();
        Thread reader = Rig.daemon(() -> {
            try {
                while (true) {
                    rig.log("client gets " + client.readAnswer(10_000));
                    answers.incrementAndGet();
                }
            } finally {
                rig.log("client sees the end of its connection");
            }
        });
        double drainAtMs = rig.nowMs() + DRAIN_AFTER_MS;
        boolean isDraining = false;
        int sent = 0;
        double lastSentMs = 0;
        while (reader.isAlive() && (!isDraining || rig.nowMs() - drainAtMs < ALLOWED_MS + 200)) {
            if (!isDraining && rig.nowMs() > drainAtMs) {
                isDraining = true;
                String answer = gateway.console("DRAIN");
                drainAtMs = rig.nowMs();
                rig.log("operator calls DRAIN: " + answer + ", PING is answered with " + ping(gateway));
                if (answer == null || !answer.startsWith("+OK")) {
                    throw new Rig.CannotRun("DRAIN was not taken");
                }
            }
            if (trouble || answers.get() == sent) {
                String id = rig.newId();
                try {
                    client.out.write(Rig.query(0x100 + sent, id, "slot-status", WAIT_MS));
                } catch (IOException e) {
                    break;
                }
                sent++;
                lastSentMs = rig.nowMs();
                rig.log("client sends " + id);
            }
            Rig.pause(BETWEEN_REQUESTS_MS);
        }
        double nowMs = rig.nowMs();
        boolean isHeld = reader.isAlive();
        rig.log(String.format(
                "%.0f ms after DRAIN the connection is %s; last request %.0f ms ago; %d sent, %d answered",
                nowMs - drainAtMs, isHeld ? "open" : "closed", nowMs - lastSentMs, sent, answers.get()));
        if (answers.get() == 0) {
            throw new Rig.CannotRun("no request was answered");
        }
        return isHeld && nowMs - drainAtMs > ALLOWED_MS && nowMs - lastSentMs < 2000
                ? String.format(
                        "%.0f ms after DRAIN a connection is held with a request of the last 2 s", nowMs - drainAtMs)
                : null;
    }

    /** Asks on a new connection, as the front does; "a closed connection" if there is no answer. */
    private static String ping(Rig.Gateway gateway) {
        try (Rig.Connection front = gateway.connect()) {
            front.send("PING");
            return front.readAnswer(1000);
        } catch (IOException e) {
            return "a closed connection";
        }
    }
}
