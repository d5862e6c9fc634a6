package opalcove.server;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import opalcove.admin.AdminServer;
import org.tinylog.Logger;

/**
 * How the file descriptors of the process are divided, so that no use takes those of another. The shares add up to no
 * more than the limit, unless that is under {@link #least}; then the smallest shares are used all the same.
 *
 * @param limit descriptors that the process may hold
 * @param base those held for the program itself: its files, event loops and listening sockets
 * @param discovery those kept for calls of discovery
 * @param counter those kept for the counter
 * @param console those kept for the console
 * @param reserve those kept for what cannot be foreseen, such as a file that is opened for a moment
 * @param backends connections to backends, those being dialled included
 * @param clients connections of clients, those being closed and those accepted and not yet handled included
 */
record DescriptorBudget(
        int limit, int base, int discovery, int counter, int console, int reserve, int backends, int clients) {
    /** A watch, one that is being given up, and one at each of two addresses while discovery moves. */
    static final int DISCOVERY = 4;

    static final int COUNTER = 1;
    static final int RESERVE = 16;
    /** The smallest share of backends and of clients. */
    static final int LEAST_SHARE = 18;
    /** Taken to be held for the program where the system does not tell. */
    private static final int BASE_DEFAULT = 40;

    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final File OPEN = new File("/proc/self/fd");
    private static final Pattern MOST_OPEN = Pattern.compile("(?m)^Max open files\\s+(\\d+)");

    /** Divides what is left of a limit in halves between backends and clients: a request holds one of each. */
    static DescriptorBudget divide(int limit, int base, boolean withConsole) {
        int console = withConsole ? AdminServer.MOST_DESCRIPTORS : 0;
        int left = limit - least(base, console) + 2 * LEAST_SHARE;
        int backends = Math.max(LEAST_SHARE, left / 2);
        int clients = Math.max(LEAST_SHARE, left - left / 2);
        return new DescriptorBudget(limit, base, DISCOVERY, COUNTER, console, RESERVE, backends, clients);
    }

    /** Divides the smaller of the configured limit and the system's, by what this process holds now. */
    static DescriptorBudget ofThisProcess(int configured, boolean withConsole) {
        DescriptorBudget budget = divide(Math.min(configured, systemLimit()), heldNow(), withConsole);
        int least = least(budget.base, budget.console);
        if (budget.limit < least) {
            Logger.warn("{} descriptors are too few, at least {} are needed", budget.limit, least);
        }
        return budget;
    }

    /** The smallest limit that holds all shares. */
    private static int least(int base, int console) {
        return base + DISCOVERY + COUNTER + console + RESERVE + 2 * LEAST_SHARE;
    }

    /** The sum of all shares. */
    int sum() {
        return base + discovery + counter + console + reserve + backends + clients;
    }

    private static int systemLimit() {
        try {
            Matcher line = MOST_OPEN.matcher(Files.readString(LIMITS));
            return line.find() ? (int) Math.min(Integer.MAX_VALUE, Long.parseLong(line.group(1))) : Integer.MAX_VALUE;
        } catch (IOException | NumberFormatException e) {
            Logger.debug("the system's limit of descriptors is not known: {}", e.getMessage());
            return Integer.MAX_VALUE;
        }
    }

    private static int heldNow() {
        String[] open = OPEN.list();
        return open == null ? BASE_DEFAULT : open.length;
    }
}
