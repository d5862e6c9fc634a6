package opalcove.gateway;

import java.util.Locale;

/** Why a request was refused. */
enum Refusal {
    /** The decision module refused it: for quotas, pressure, or since no backend had it. */
    DECIDED,
    /** As many requests were open as the settings allow. */
    TOO_MANY_OPEN,
    /** The process ends before there would be an answer. */
    ENDING,
    /** Its time was over before it was read. */
    UNREAD_IN_TIME;

    /** The reason's name in figures. */
    String figure() {
        return name().toLowerCase(Locale.ROOT);
    }
}
