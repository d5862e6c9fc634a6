package opalcove.admin;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Executes the commands of administrators. A response is one line that begins with {@code +OK} or {@code -ERR}. In a
 * response to {@code STATS} or {@code MEMBERS} more lines follow, and a line {@code .} ends it. Owned by the admin
 * server's thread.
 */
final class AdminCommands {
    /** The number of characters of an unknown command that the response and the log repeat. */
    private static final int MAX_SHOWN_CHARACTERS = 32;

    private final AdminTarget target;
    private final AtomicLong invalidCount = new AtomicLong();

    AdminCommands(AdminTarget target) {
        this.target = target;
    }

    /** Executes a command and returns the response with its line feeds. */
    String execute(String command) {
        switch (command.toUpperCase(Locale.ROOT)) {
            case "READY" -> {
                String reason = target.notReady();
                return reason == null ? "+OK ready\n" : "-ERR not ready: " + reason + "\n";
            }
            case "STATS" -> {
                return "+OK\n" + target.metrics() + ".\n";
            }
            case "MEMBERS" -> {
                String members = target.members();
                return members == null ? "-ERR membership is off\n" : "+OK\n" + members + ".\n";
            }
            case "DRAIN" -> {
                target.setDrainRequested(true);
                return "+OK draining\n";
            }
            case "UNDRAIN" -> {
                target.setDrainRequested(false);
                return "+OK taking clients\n";
            }
            default -> {
                String shown = command.length() > MAX_SHOWN_CHARACTERS
                        ? command.substring(0, MAX_SHOWN_CHARACTERS) + "..."
                        : command;
                logInvalid("unknown command " + shown);
                return "-ERR unknown call '" + shown + "'; calls are READY, STATS, DRAIN and UNDRAIN\n";
            }
        }
    }

    /** Returns the response to a command that is longer than the maximum. */
    String rejectOverlong(int maxBytes) {
        logInvalid("a command longer than " + maxBytes + " bytes");
        return "-ERR a call is one line of at most " + maxBytes + " bytes\n";
    }

    private void logInvalid(String problem) {
        Logger.warn("admin: {} ({} invalid commands so far)", problem, invalidCount.incrementAndGet());
    }
}
