package opalcove.gateway;

import java.util.Locale;

/** The calls of the system whose failures are counted. */
public enum SystemCall {
    ACCEPT,
    CONNECT;

    /** The call's name in figures. */
    String figure() {
        return name().toLowerCase(Locale.ROOT);
    }
}
