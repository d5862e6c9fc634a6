import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A client sends two requests, one behind the other. The backend writes the long value of the first one in pieces, over
 * five seconds, and begins at once. The value has to arrive whole. Without the disruption the backend writes it at once.
 */
final class LongValue {
    private static final int VALUE_BYTES = 1_000_000;
    private static final int PIECES = 50;
    private static final long BETWEEN_PIECES_MS = 100;
    private static final int WAIT_MS = 4000;

    public static void main(String[] args) {
        Rig.main(args, LongValue::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        String first = rig.newId();
        String second = rig.newId();
        AtomicBoolean hasRun = new AtomicBoolean();
        Rig.Discovery discovery = rig.new Discovery();
        for (int i = 0; i < 2; i++) {
            String name = "s-" + i;
            Rig.Backend backend = rig.new Backend(name, (command, socket) -> {
                String id = Rig.text(command.get(2));
                rig.log(name + " runs " + id);
                Rig.pause(20);
                OutputStream out = socket.getOutputStream();
                if (!id.equals(first)) {
                    out.write(Rig.served("value of " + id));
                    return;
                }
                hasRun.set(true);
                byte[] reply = Rig.served("v".repeat(VALUE_BYTES));
                int piece = reply.length / PIECES + 1;
                for (int at = 0; at < reply.length; at += piece) {
                    try {
                        out.write(reply, at, Math.min(piece, reply.length - at));
                    } catch (IOException e) {
                        rig.log(name + " has written " + at + " bytes for " + id + " and can write no more: "
                                + e.getMessage());
                        return;
                    }
                    Rig.pause(trouble ? BETWEEN_PIECES_MS : 0);
                }
                rig.log(name + " has written the whole value of " + id);
            });
            discovery.put(name, backend.port(), 1, "up");
        }
        Rig.Gateway gateway = rig.startGateway(discovery, settings -> settings);
        Rig.pause(1000);
        try (Rig.Connection client = gateway.connect()) {
            client.out.write(Rig.join(
                    Rig.query(0x11, first, "slot-status", WAIT_MS), Rig.query(0x12, second, "slot-status", WAIT_MS)));
            rig.log("client sends " + first + " and, behind it, " + second);
            String answer;
            try {
                answer = client.readAnswer(15_000);
            } catch (IOException e) {
                answer = "no whole answer: " + e.getMessage();
            }
            rig.log("client gets for " + first + ": " + answer.substring(0, Math.min(40, answer.length())) + ", "
                    + answer.length() + " characters");
            Rig.pause(300);
            if (!hasRun.get()) {
                throw new Rig.CannotRun("the first request did not run");
            }
            boolean isWhole = answer.equals("value " + "v".repeat(VALUE_BYTES));
            return isWhole ? null : first + " got '" + answer.substring(0, Math.min(40, answer.length()))
                    + "' while its backend was still giving the value";
        }
    }
}
