package opalcove;

import java.io.IOException;
import opalcove.config.InvalidConfigurationException;
import opalcove.server.GatewayServer;
import opalcove.simulator.SimulatorAdapter;

/**
 * The platform's program, without what its two commands do not need: {@code serve} is one gateway, {@code adapter} the
 * decisions on the simulator's wire. Exits with 0 when ended well, 1 when it failed and 2 for a wrong call.
 */
public final class Main {
    private Main() {}

    /** Runs {@code serve} or {@code adapter}; any other argument ends the program with code 2. */
    public static void main(String[] args) throws IOException {
        try {
            switch (args.length == 1 ? args[0] : "") {
                case "serve" -> GatewayServer.start();
                case "adapter" -> SimulatorAdapter.onStandardStreams();
                default -> {
                    System.err.println("usage: java -jar opalcove-gateway.jar serve | adapter"
                            + " (the other commands are in opalcove.jar)");
                    System.exit(2);
                }
            }
        } catch (InvalidConfigurationException e) {
            fail(e);
        }
    }

    /** Tells what is wrong, a line each, and ends the program with 1, whatever it has started. */
    public static void fail(InvalidConfigurationException wrong) {
        wrong.getMessage().lines().forEach(line -> System.err.println("opalcove: " + line));
        System.err.flush();
        Runtime.getRuntime().halt(1);
    }
}
