package opalcove.metrics;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.Locale;

/**
 * The reason why a system call failed, which is recognised by the text of the system's message, because the JDK does
 * not report it otherwise. It separates failures of this machine from failures that the peer caused.
 */
public enum Errno {
    EMFILE("emfile", "too many open files", true),
    ENFILE("enfile", "too many open files in system", true),
    ENOBUFS("enobufs", "no buffer space available", true),
    ENOMEM("enomem", "cannot allocate memory", true),
    EADDRNOTAVAIL("eaddrnotavail", "cannot assign requested address", true),
    ENETUNREACH("enetunreach", "network is unreachable", true),
    ENETDOWN("enetdown", "network is down", true),
    EAGAIN("eagain", "resource temporarily unavailable", true),
    EINTR("eintr", "interrupted system call", true),
    ECONNABORTED("econnaborted", "software caused connection abort", true),
    ECONNREFUSED("econnrefused", "connection refused", false),
    ECONNRESET("econnreset", "connection reset", false),
    ETIMEDOUT("etimedout", "timed out", false),
    EHOSTUNREACH("ehostunreach", "no route to host", false),
    OTHER("other", "", false);

    private final String metricName;
    private final String message;
    private final boolean ofThisMachine;

    Errno(String metricName, String message, boolean ofThisMachine) {
        this.metricName = metricName;
        this.message = message;
        this.ofThisMachine = ofThisMachine;
    }

    /**
     * Returns the reason of the failure or of the first of its causes that has a known reason; {@link #OTHER} if none
     * has.
     */
    public static Errno of(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            Errno found = of(String.valueOf(cause.getMessage()));
            if (found != OTHER) {
                return found;
            }
            if (cause instanceof NoRouteToHostException) {
                return EHOSTUNREACH;
            }
            if (cause.getClass() == ConnectException.class) {
                return ECONNREFUSED;
            }
        }
        return OTHER;
    }

    private static Errno of(String message) {
        String text = message.toLowerCase(Locale.ROOT);
        Errno longest = OTHER;
        for (Errno errno : values()) {
            if (text.contains(errno.message) && errno.message.length() > longest.message.length()) {
                longest = errno;
            }
        }
        return longest;
    }

    /** Returns the name of the reason in metrics. */
    String metricName() {
        return metricName;
    }

    /** Returns whether the failure concerns this machine only, so that nothing has reached the peer. */
    public boolean isOfThisMachine() {
        return ofThisMachine;
    }

    /** Returns whether the failure is a lack of file descriptors. */
    public boolean isShortOfDescriptors() {
        return this == EMFILE || this == ENFILE;
    }
}
