package opalcove.metrics;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.Locale;

/**
 * Why a system call has failed, as far as the JDK reports it: by the text of the system's message. It separates what
 * this machine lacks from what the peer has done.
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

    /** The reason of the failure, or of what has caused it. */
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
        for (Errno cause : values()) {
            if (text.contains(cause.message) && cause.message.length() > longest.message.length()) {
                longest = cause;
            }
        }
        return longest;
    }

    /** The name in figures. */
    String metricName() {
        return metricName;
    }

    /** Whether it concerns this machine alone: nothing of it has reached the peer. */
    public boolean isOfThisMachine() {
        return ofThisMachine;
    }

    /** Whether descriptors are what is missing. */
    public boolean isShortOfDescriptors() {
        return this == EMFILE || this == ENFILE;
    }
}
