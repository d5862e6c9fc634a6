import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A client sends some hundred requests of as many customers at once, one behind another, and closes its connection
 * 0.2 s later. The first request needs more work than the others. No attempt may begin more than 0.1 s after the close
 * (0.15 s with the slack of the rules on sockets). Without the disruption the client stays and reads its answers.
 */
final class Leaver {
    private static final int REQUESTS = 420;
    private static final int BODY_BYTES = 2000;
    private static final int WAIT_MS = 7500;
    private static final long WORK_MS = 100;
    private static final long HEAVY_WORK_MS = 3000;
    private static final long LEAVES_AFTER_MS = 200;
    private static final double ALLOWED_MS = 150;

    /** An attempt that has come whole to a backend. */
    private record Attempt(double atMs, String id) {}

    public static void main(String[] args) {
        Rig.main(args, Leaver::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        List<Attempt> attempts = new CopyOnWriteArrayList<>();
        String heavy = rig.newId();
        Rig.Discovery discovery = rig.new Discovery();
        for (int i = 0; i < 4; i++) {
            String name = "s-" + i;
            Rig.Backend backend = rig.new Backend(name, (command, socket) -> {
                String id = Rig.text(command.get(2));
                attempts.add(new Attempt(rig.nowMs(), id));
                rig.log(name + " runs " + id);
                Rig.pause(id.equals(heavy) ? HEAVY_WORK_MS : WORK_MS);
                socket.getOutputStream().write(Rig.served("value of " + id));
            });
            discovery.put(name, backend.port(), 1, "up");
        }
        Rig.Gateway gateway = rig.startGateway(discovery, settings -> settings);
        Rig.pause(1000);
        byte[] commands = Rig.submit(0x100, heavy, WAIT_MS, "b".repeat(BODY_BYTES));
        for (int i = 1; i < REQUESTS; i++) {
            commands = Rig.join(commands, Rig.submit(0x100 + i, rig.newId(), WAIT_MS, "b".repeat(BODY_BYTES)));
        }
        Rig.Connection client = gateway.connect();
        client.out.write(commands);
        rig.log("client has written " + REQUESTS + " requests, " + commands.length + " bytes");
        Rig.pause(LEAVES_AFTER_MS);
        double leftAtMs = trouble ? rig.nowMs() : Double.MAX_VALUE;
        if (trouble) {
            client.close();
            rig.log("client closes its connection");
        } else {
            for (int i = 0; i < REQUESTS; i++) {
                rig.log("client gets " + client.readAnswer(10_000));
            }
        }
        Rig.pause(4000);
        client.close();
        if (attempts.isEmpty()) {
            throw new Rig.CannotRun("there was no attempt");
        }
        List<Attempt> late = attempts.stream()
                .filter(attempt -> attempt.atMs() - leftAtMs > ALLOWED_MS)
                .toList();
        rig.log(attempts.size() + " attempts, " + late.size() + " of them over " + ALLOWED_MS
                + " ms after the client's close");
        return late.isEmpty()
                ? null
                : String.format(
                        "%d swap-records ran for a client that had left, up to %.0f ms after its close",
                        late.size(), late.get(late.size() - 1).atMs() - leftAtMs);
    }
}
