package opalcove.laboratory.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;

/** The request classes in the soak's settings. */
enum SoakClass {
    LOOKUP("lookup", "safe", 1500, 0),
    READING("reading", "safe", 2500, 0),
    ORDER("order", "keyed", 2000, 800),
    PAYMENT("payment", "unsafe", 2000, 0);

    final String label;
    final String idempotency;
    final int deadlineMs;
    final int windowMs;

    SoakClass(String label, String idempotency, int deadlineMs, int windowMs) {
        this.label = label;
        this.idempotency = idempotency;
        this.deadlineMs = deadlineMs;
        this.windowMs = windowMs;
    }

    boolean safe() {
        return this == LOOKUP || this == READING;
    }

    JsonObject json(String reach) {
        return Json.object()
                .add("name", label)
                .add("value", 2.0)
                .add("aim_ms", deadlineMs / 2.0)
                .add("deadline_ms", (double) deadlineMs)
                .add("idempotency", idempotency)
                .add("group", this == ORDER ? reach : "all")
                .add("window_ms", (double) windowMs)
                .add("late_value", 0.0)
                .add("stream", false);
    }
}
