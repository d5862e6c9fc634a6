package opalcove.mqtt;

import java.util.HashSet;
import java.util.Set;

/** The topic filters that a client has subscribed to. Owned by the event loop of its connection. */
final class TopicFilters {
    private final Set<String> filters = new HashSet<>();

    /** Whether this is a valid MQTT topic filter; shared subscriptions are not supported. */
    static boolean isValid(String filter) {
        String[] levels = filter.split("/", -1);
        for (int i = 0; i < levels.length; i++) {
            boolean isWildcard = levels[i].contains("#") || levels[i].contains("+");
            if (isWildcard && levels[i].length() > 1 || levels[i].equals("#") && i < levels.length - 1) {
                return false;
            }
        }
        return !filter.isEmpty() && !filter.startsWith("$share/");
    }

    void add(String filter) {
        filters.add(filter);
    }

    void remove(String filter) {
        filters.remove(filter);
    }

    /** Whether one of the filters matches the topic. */
    boolean matches(String topic) {
        return filters.stream().anyMatch(filter -> matches(filter.split("/", -1), topic.split("/", -1)));
    }

    private static boolean matches(String[] filter, String[] topic) {
        for (int i = 0; i < filter.length; i++) {
            if (filter[i].equals("#")) {
                return true;
            }
            if (i >= topic.length || !filter[i].equals("+") && !filter[i].equals(topic[i])) {
                return false;
            }
        }
        return filter.length == topic.length;
    }
}
