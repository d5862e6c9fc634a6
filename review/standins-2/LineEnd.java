import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One connection carries requests of several customers, one after the other. Each group begins with a request whose
 * value is long, and its length is another one each time. The three requests after it have short values. The n-th
 * answer has to be the answer to the n-th request. Without the disruption no value is longer than 64 KiB.
 */
final class LineEnd {
    /** The lengths of the long values: two spans of 16 KiB, in steps that are shorter than the faulty part of a span. */
    private static final int FIRST_LENGTH = 66_000;

    private static final int LAST_LENGTH = 100_000;
    private static final int STEP = 30;
    private static final int SHORT_REQUESTS = 3;

    public static void main(String[] args) {
        Rig.main(args, LineEnd::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        Map<String, String> values = new ConcurrentHashMap<>();
        Rig.Discovery discovery = rig.new Discovery();
        for (int i = 0; i < 2; i++) {
            Rig.Backend backend = rig.new Backend("s-" + i, (command, socket) -> {
                String id = Rig.text(command.get(2));
                rig.log("backend runs " + id + " and answers with " + shown(values.get(id)));
                socket.getOutputStream().write(Rig.served(values.get(id)));
            });
            discovery.put("s-" + i, backend.port(), 1, "up");
        }
        Rig.Gateway gateway = rig.startGateway(discovery, settings -> settings);
        Rig.pause(1000);
        long customer = 0x1000;
        int groups = 0;
        try (Rig.Connection client = gateway.connect()) {
            for (int length = FIRST_LENGTH; length < LAST_LENGTH; length += STEP) {
                groups++;
                String broken = null;
                for (int i = 0; i <= SHORT_REQUESTS; i++) {
                    String id = rig.newId();
                    String value = "made for " + id + ".";
                    values.put(id, i > 0 ? value : value + "v".repeat((trouble ? length : length / 2) - value.length()));
                    client.out.write(Rig.query(customer, id, "slot-status", 4000));
                    String answer = client.readAnswer(6000);
                    rig.log(String.format("customer %x, request %s: the next answer is ", customer++, id)
                            + shown(answer));
                    boolean isForeign = answer.startsWith("value ") && !answer.equals("value " + values.get(id));
                    if (isForeign && broken == null) {
                        broken = id + " was served with '" + answer.substring(6) + "', after a value of " + length
                                + " bytes";
                    }
                    if (i == 0) {
                        values.remove(id);
                    }
                }
                if (broken != null) {
                    return broken;
                }
            }
        }
        rig.log(groups + " long values");
        return null;
    }

    private static String shown(String text) {
        return text.length() < 80 ? "'" + text + "'" : "'" + text.substring(0, 40) + "...', " + text.length() + " characters";
    }
}
