import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client reads the answer to its first request in pieces, over four seconds, and sends its second request on the same
 * connection meanwhile. The first answer has to arrive whole. Without the disruption the client reads at once.
 */
final class SlowReader {
    /** Under 64 KiB, which any value may have. */
    private static final int VALUE_BYTES = 60_000;

    private static final int PIECES = 40;
    private static final long BETWEEN_PIECES_MS = 100;
    /** When the second request is sent, from the first one on. */
    private static final long SECOND_AFTER_MS = 3300;

    public static void main(String[] args) {
        Rig.main(args, SlowReader::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        AtomicInteger ran = new AtomicInteger();
        String value = "v".repeat(VALUE_BYTES);
        Rig.Backend backend = rig.new Backend("s-1", (command, socket) -> {
            String id = Rig.text(command.get(2));
            rig.log("backend runs " + id);
            ran.incrementAndGet();
            Rig.pause(50);
            socket.getOutputStream().write(Rig.served(value));
            rig.log("backend has answered " + id);
        });
        Rig.Discovery discovery = rig.new Discovery();
        discovery.put("s-1", backend.port(), 1, "up");
        Rig.Gateway gateway = rig.startGateway(discovery, settings -> settings);
        Rig.pause(1000);
        String first = rig.newId();
        String second = rig.newId();
        try (Rig.Connection client = gateway.connect(4096)) {
            client.socket.setSoTimeout(3000);
            double sentAt = rig.nowMs();
            client.out.write(Rig.query(0x11, first, "battery-update", 7500));
            rig.log("client sends " + first);
            int expected = ("$" + VALUE_BYTES + "\r\n").length() + VALUE_BYTES + 2;
            int received = 0;
            boolean sentSecond = false;
            byte[] piece = new byte[expected / PIECES];
            while (received < expected) {
                if (!sentSecond && (trouble ? rig.nowMs() - sentAt > SECOND_AFTER_MS : received > 0)) {
                    sentSecond = true;
                    rig.log("client sends " + second + " behind it, with " + received + " bytes read");
                    client.out.write(Rig.query(0x12, second, "battery-update", 7500));
                }
                int read = client.in.read(piece, 0, Math.min(piece.length, expected - received));
                if (read < 0) {
                    break;
                }
                received += read;
                Rig.pause(trouble ? BETWEEN_PIECES_MS : 0);
            }
            rig.log("client has read " + received + " of " + expected + " bytes of the answer to " + first);
            if (received < expected) {
                return "the connection ended after " + received + " of " + expected + " bytes of " + first;
            }
        } catch (SocketTimeoutException e) {
            rig.log("client: no more bytes for 3 s");
            return "the rest of the answer to " + first + " never came";
        } catch (IOException e) {
            rig.log("client: " + e);
            return "the gateway ended the connection within the answer to " + first + ": " + e.getMessage();
        }
        if (ran.get() == 0) {
            throw new Rig.CannotRun("the backend ran nothing");
        }
        return null;
    }
}
