import java.nio.file.Path;

/**
 * Runs one case: {@code CASE ROOT RECORD}. The process exits with 1 if the rule was broken, 0 if it held, and 2 if the
 * case couldn't run. It ends the gateway in each case, also when it is interrupted or takes too long.
 */
final class Case {
    private static final long MAX_MS = 112_000;

    /** What a case does. Returns whether the rule held. */
    interface Body {
        boolean holds(Rig rig, boolean trouble) throws Exception;
    }

    /** Thrown when a case couldn't show anything. */
    static final class CouldNotRun extends Exception {
        private static final long serialVersionUID = 1;

        CouldNotRun(String reason) {
            super(reason);
        }
    }

    private Case() {}

    static void run(String[] args, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) {
            Thread hook = new Thread(rig::killGateway);
            Runtime.getRuntime().addShutdownHook(hook);
            Rig.daemon(() -> {
                Rig.pause(MAX_MS);
                rig.log("the case took too long");
                rig.killGateway();
                Runtime.getRuntime().halt(2);
            });
            rig.log("trouble: %s", trouble ? "yes" : "no");
            try {
                exit = body.holds(rig, trouble) ? 0 : 1;
            } catch (Exception e) {
                rig.log("the case couldn't run: %s", e);
                System.out.println("the case couldn't run: " + e);
            }
            rig.logGatewayLog(40);
            rig.log("exit %d", exit);
        } catch (Exception e) {
            System.out.println("the case couldn't run: " + e);
            exit = 2;
        }
        System.exit(exit);
    }
}
