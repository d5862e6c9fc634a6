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
 * Divides the file descriptors of the process into shares, so that no use can exhaust those of another. The sum of the
 * shares does not exceed the limit, unless the limit is below {@link #minLimit}; in that case the minimum shares apply
 * regardless.
 *
 * @param limit the descriptors that the process may hold
 * @param base the descriptors that the program itself uses: its files, event loops and listening sockets
 * @param discovery the descriptors reserved for calls to discovery
 * @param counter the descriptors reserved for the counter
 * @param console the descriptors reserved for the admin server
 * @param reserve the descriptors reserved for unforeseen uses, such as a file that is opened briefly
 * @param backends the descriptors for connections to backends, including those being opened
 * @param clients the descriptors for client connections, including those being closed and those accepted and not yet
 *     handled
 */
record DescriptorBudget(
        int limit, int base, int discovery, int counter, int console, int reserve, int backends, int clients) {
    /**
     * One for a watch, one for a connection that is being closed, and one for each of two addresses while discovery
     * moves.
     */
    static final int DISCOVERY_SHARE = 4;

    static final int COUNTER_SHARE = 1;
    static final int RESERVE_SHARE = 16;
    /** The minimum share of backends and of clients. */
    static final int MIN_SHARE = 18;
    /** The assumed descriptors of the program if the system does not report them. */
    private static final int DEFAULT_BASE = 40;

    private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
    private static final File DESCRIPTOR_FOLDER = new File("/proc/self/fd");
    private static final Pattern OPEN_FILES_LIMIT = Pattern.compile("(?m)^Max open files\\s+(\\d+)");

    /**
     * Divides a limit; backends and clients get equal parts of the rest, because a request holds one descriptor of
     * each.
     */
    static DescriptorBudget divide(int limit, int base, boolean withConsole) {
        int console = withConsole ? AdminServer.MAX_DESCRIPTORS : 0;
        int rest = limit - minLimit(base, console) + 2 * MIN_SHARE;
        int backends = Math.max(MIN_SHARE, rest / 2);
        int clients = Math.max(MIN_SHARE, rest - rest / 2);
        return new DescriptorBudget(
                limit, base, DISCOVERY_SHARE, COUNTER_SHARE, console, RESERVE_SHARE, backends, clients);
    }

    /** Divides the smaller of the configured limit and the system's; the base is what this process holds now. */
    static DescriptorBudget ofThisProcess(int configured, boolean withConsole) {
        DescriptorBudget budget = divide(Math.min(configured, systemLimit()), openDescriptors(), withConsole);
        int minLimit = minLimit(budget.base, budget.console);
        if (budget.limit < minLimit) {
            Logger.warn("{} descriptors are too few, at least {} are needed", budget.limit, minLimit);
        }
        return budget;
    }

    /** Returns the smallest limit that is sufficient for all shares. */
    private static int minLimit(int base, int console) {
        return base + DISCOVERY_SHARE + COUNTER_SHARE + console + RESERVE_SHARE + 2 * MIN_SHARE;
    }

    /** Returns the sum of all shares. */
    int sum() {
        return base + discovery + counter + console + reserve + backends + clients;
    }

    private static int systemLimit() {
        try {
            Matcher line = OPEN_FILES_LIMIT.matcher(Files.readString(LIMITS_FILE));
            return line.find() ? (int) Math.min(Integer.MAX_VALUE, Long.parseLong(line.group(1))) : Integer.MAX_VALUE;
        } catch (IOException | NumberFormatException e) {
            Logger.debug("the system's limit of descriptors is not known: {}", e.getMessage());
            return Integer.MAX_VALUE;
        }
    }

    private static int openDescriptors() {
        String[] open = DESCRIPTOR_FOLDER.list();
        return open == null ? DEFAULT_BASE : open.length;
    }
}
