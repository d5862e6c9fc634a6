package opalcove.metrics;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.Locale;

/**
 * Why a call of the system has failed, as far as the JDK tells it: by the text of the system's message. It separates what this
 * machine lacks from what the other end has done.
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

    private final String figure;
    private final String message;
    private final boolean ofThisMachine;

    Errno(String figure, String message, boolean ofThisMachine) {
        this.figure = figure;
        this.message = message;
        this.ofThisMachine = ofThisMachine;
    }

    /** The reason that the failure, or what has caused it, tells. */
    public static Errno of(Throwable failure) {
        for (Throwable each = failure; each != null; each = each.getCause()) {
            Errno told = of(String.valueOf(each.getMessage()));
            if (told != OTHER) {
                return told;
            }
            if (each instanceof NoRouteToHostException) {
                return EHOSTUNREACH;
            }
            if (each.getClass() == ConnectException.class) {
                return ECONNREFUSED;
            }
        }
        return OTHER;
    }

    private static Errno of(String message) {
        String text = message.toLowerCase(Locale.ROOT);
        Errno longest = OTHER;
        for (Errno each : values()) {
            if (text.contains(each.message) && each.message.length() > longest.message.length()) {
                longest = each;
            }
        }
        return longest;
    }

    /** The reason's name in figures. */
    String figure() {
        return figure;
    }

    /** Whether it tells of this machine alone: nothing of it has come to the other end. */
    public boolean isOfThisMachine() {
        return ofThisMachine;
    }

    /** Whether descriptors are what is missing. */
    public boolean isShortOfDescriptors() {
        return this == EMFILE || this == ENFILE;
    }
}
