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
 * more than the limit, unless that is under {@link #minLimit}; then the smallest shares are used all the same.
 *
 * @param limit descriptors that the process may hold
 * @param base those held for the program itself: its files, event loops and listening sockets
 * @param discovery those reserved for calls of discovery
 * @param counter those reserved for the counter
 * @param console those reserved for the admin server
 * @param reserve those reserved for what cannot be foreseen, such as a file that is opened briefly
 * @param backends connections to backends, including those being opened
 * @param clients connections of clients, including those being closed and those accepted and not yet handled
 */
record DescriptorBudget(
        int limit, int base, int discovery, int counter, int console, int reserve, int backends, int clients) {
    /** A watch, one that is being closed, and one at each of two addresses while discovery moves. */
    static final int DISCOVERY = 4;

    static final int COUNTER = 1;
    static final int RESERVE = 16;
    /** The smallest share of backends and of clients. */
    static final int MIN_SHARE = 18;
    /** Assumed for the program where the system does not report it. */
    private static final int DEFAULT_BASE = 40;

    private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
    private static final File OPEN_FILES = new File("/proc/self/fd");
    private static final Pattern MAX_OPEN_LINE = Pattern.compile("(?m)^Max open files\\s+(\\d+)");

    /** Divides the rest of a limit in halves between backends and clients: a request holds one of each. */
    static DescriptorBudget divide(int limit, int base, boolean withConsole) {
        int console = withConsole ? AdminServer.MAX_DESCRIPTORS : 0;
        int rest = limit - minLimit(base, console) + 2 * MIN_SHARE;
        int backends = Math.max(MIN_SHARE, rest / 2);
        int clients = Math.max(MIN_SHARE, rest - rest / 2);
        return new DescriptorBudget(limit, base, DISCOVERY, COUNTER, console, RESERVE, backends, clients);
    }

    /** Divides the smaller of the configured limit and the system's, by what this process holds now. */
    static DescriptorBudget ofThisProcess(int configured, boolean withConsole) {
        DescriptorBudget budget = divide(Math.min(configured, systemLimit()), heldNow(), withConsole);
        int minLimit = minLimit(budget.base, budget.console);
        if (budget.limit < minLimit) {
            Logger.warn("{} descriptors are too few, at least {} are needed", budget.limit, minLimit);
        }
        return budget;
    }

    /** The smallest limit that holds all shares. */
    private static int minLimit(int base, int console) {
        return base + DISCOVERY + COUNTER + console + RESERVE + 2 * MIN_SHARE;
    }

    /** The sum of all shares. */
    int sum() {
        return base + discovery + counter + console + reserve + backends + clients;
    }

    private static int systemLimit() {
        try {
            Matcher line = MAX_OPEN_LINE.matcher(Files.readString(LIMITS_FILE));
            return line.find() ? (int) Math.min(Integer.MAX_VALUE, Long.parseLong(line.group(1))) : Integer.MAX_VALUE;
        } catch (IOException | NumberFormatException e) {
            Logger.debug("the system's limit of descriptors is not known: {}", e.getMessage());
            return Integer.MAX_VALUE;
        }
    }

    private static int heldNow() {
        String[] open = OPEN_FILES.list();
        return open == null ? DEFAULT_BASE : open.length;
    }
}
