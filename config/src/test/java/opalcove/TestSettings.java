package opalcove;

import opalcove.config.JsonFields;
import opalcove.config.SettingsReader;
import opalcove.decision.DecisionSettings;

/** The settings that tests use: three request classes and two plans. */
public final class TestSettings {
    public static final String JSON =
            """
            {"me":0,"balancers":1,"locality":"room-a","tick_ms":2,"discovery":"pushed",
             "specifics":{"meter_period_ms":2000,"cost_after":true,"largest":8},"costs":{},
             "ceilings":{"max_attempts":6,"may_cancel":true,"retry_after":true,"max_retry_after_ms":2000,
                         "idle_close_ms":30000,"dial_timeout_ms":250,"max_open":4},
             "feedback":{"how":"inline","columns":["svc_ms"]},
             "obligations":{"cold_from":0.2,"warm_after_ms":9000,"overload_factor":2.5,"fall_ms":3000},
             "profiles":[
              {"name":"slot-status","value":2,"aim_ms":2000,"deadline_ms":4000,"idempotency":"safe","group":"all"},
              {"name":"battery-update","value":2,"aim_ms":2000,"deadline_ms":7500,"idempotency":"safe","group":"all"},
              {"name":"swap-record","value":6,"aim_ms":2000,"deadline_ms":7500,"idempotency":"keyed","group":"cell",
               "window_ms":4000}],
             "tiers_of_service":[{"name":"start","quota_rate":50,"peak_units":100},
                                 {"name":"flotte","quota_rate":50,"peak_units":100}]}""";

    private TestSettings() {}

    /** Returns settings that allow four open requests at most. */
    public static DecisionSettings settings() {
        return settings(4);
    }

    /** Returns settings under which the endpoint list is polled rather than pushed. */
    public static DecisionSettings settingsWithPolledList() {
        return SettingsReader.read(JsonFields.parse(JSON.replace("\"pushed\"", "\"on_request\"")));
    }

    /** Returns settings that allow this many open requests at most. */
    public static DecisionSettings settings(int maxOpenRequests) {
        return SettingsReader.read(JsonFields.parse(JSON.replace("\"max_open\":4", "\"max_open\":" + maxOpenRequests)));
    }
}
