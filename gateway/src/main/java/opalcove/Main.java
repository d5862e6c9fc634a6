package opalcove;

import java.io.IOException;
import opalcove.config.InvalidConfigurationException;
import opalcove.server.GatewayServer;
import opalcove.simulator.SimulatorAdapter;

/**
 * The gateway's own program, without the classes that only other commands need: {@code serve} runs one gateway, {@code
 * adapter} runs the decision module for the simulator. Exits with 0 after a graceful end, 1 after a failure and 2 for
 * invalid arguments.
 */
public final class Main {
    private Main() {}

    /** Runs {@code serve} or {@code adapter}; any other argument ends the process with code 2. */
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

    /** Prints the problems, one a line, and ends the process with code 1, even if other threads are running. */
    public static void fail(InvalidConfigurationException problems) {
        problems.getMessage().lines().forEach(line -> System.err.println("opalcove: " + line));
        System.err.flush();
        Runtime.getRuntime().halt(1);
    }
}
