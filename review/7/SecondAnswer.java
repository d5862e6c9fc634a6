import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend sends a second copy directly after each twentieth of its answers, when nothing else waits on the
 * connection. The second copy comes in two pieces: the first one together with the answer, the rest some milliseconds
 * later. No client may get anything but the value made for its request. Without the disruption there are no second
 * copies.
 */
final class SecondAnswer {
    private static final int CLIENTS = 4;
    private static final int REQUESTS = 100;
    private static final long WORK_MS = 40;
    private static final int SPOILT = 20;
    /** How much later than the first piece of a second copy its rest comes. */
    private static final long REST_AFTER_MS = 50;

    public static void main(String[] args) {
        Rig.main(args, SecondAnswer::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        AtomicInteger answered = new AtomicInteger();
        Rig.Backend backend = rig.new Backend("s-1", (command, socket) -> {
            String id = Rig.text(command.get(2));
            rig.log("backend runs " + id);
            Rig.pause(WORK_MS);
            byte[] reply = Rig.served("value of " + id);
            OutputStream out = socket.getOutputStream();
            if (!trouble || answered.incrementAndGet() % SPOILT != 0) {
                out.write(reply);
                return;
            }
            byte[] begun = Arrays.copyOf(reply, reply.length / 2);
            out.write(Rig.join(reply, begun));
            rig.log("backend answers " + id + ", and begins a second copy");
            Rig.pause(REST_AFTER_MS);
            try {
                out.write(reply, begun.length, reply.length - begun.length);
                rig.log("backend has written the rest of the second copy for " + id);
            } catch (IOException e) {
                rig.log("backend cannot write the rest of the second copy for " + id + ": " + e.getMessage());
            }
        });
        Rig.Discovery discovery = rig.new Discovery();
        discovery.put("s-1", backend.port(), 1, "up");
        Rig.Gateway gateway = rig.startGateway(discovery, settings -> settings);
        Rig.pause(1000);
        List<String> wrong = new CopyOnWriteArrayList<>();
        AtomicInteger served = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            long customer = 0x100 + c;
            clients.add(Rig.daemon(() -> {
                try (Rig.Connection client = gateway.connect()) {
                    for (int i = 0; i < REQUESTS; i++) {
                        String id = rig.newId();
                        client.out.write(Rig.query(customer + i * CLIENTS, id, "slot-status", 4000));
                        String answer = client.readAnswer(6000);
                        rig.log("client " + customer + " gets for " + id + ": " + answer);
                        if (answer.startsWith("value ")) {
                            served.incrementAndGet();
                            if (!answer.equals("value value of " + id)) {
                                wrong.add(id + " was served with '" + answer.substring(6) + "'");
                            }
                        }
                        Rig.pause(10);
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        rig.log(served.get() + " requests were served, " + wrong.size() + " of them with another request's value");
        if (served.get() < CLIENTS * REQUESTS / 2) {
            throw new Rig.CannotRun("only " + served.get() + " requests were served");
        }
        return wrong.isEmpty() ? null : wrong.size() + " requests got another's value, the first: " + wrong.get(0);
    }
}
