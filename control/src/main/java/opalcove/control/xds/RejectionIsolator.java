package opalcove.control.xds;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the resource for which a client rejects a response of several. The resources of the rejected response are sent again in
 * halves; one that is rejected alone is withheld until it has another version.
 */
final class RejectionIsolator {
    /** Versions rejected in a response of their own, by resource name. */
    private final Map<String, String> withheld = new HashMap<>();

    private final Deque<List<String>> halves = new ArrayDeque<>();

    /**
     * Splits what a rejected response carried.
     *
     * @param latest the versions sent last, by resource name
     */
    void onRejected(PendingAck rejected, Map<String, String> latest) {
        List<String> suspects = new ArrayList<>();
        rejected.versions().forEach((name, version) -> {
            // A version that was sent since has an acknowledgement of its own to come.
            if (!version.equals(ResourceSubscription.ABSENT) && version.equals(latest.get(name))) {
                suspects.add(name);
            }
        });
        if (suspects.size() == 1) {
            withheld.put(suspects.get(0), rejected.versions().get(suspects.get(0)));
        } else if (rejected.splittable() && !suspects.isEmpty()) {
            halves.add(List.copyOf(suspects.subList(0, suspects.size() / 2)));
            halves.add(List.copyOf(suspects.subList(suspects.size() / 2, suspects.size())));
        }
    }

    /** The client has accepted these versions. */
    void onAccepted(PendingAck accepted) {
        accepted.versions().forEach(withheld::remove);
    }

    /** This version of the resource is about to be sent: another version of it is no longer withheld. */
    void onSent(String name, String version) {
        if (!version.equals(withheld.get(name))) {
            withheld.remove(name);
        }
    }

    /** The resource is gone, or the client has subscribed to it anew. */
    void forget(String name) {
        withheld.remove(name);
    }

    boolean isWithheld(String name, String version) {
        return version.equals(withheld.get(name));
    }

    int withheldCount() {
        return withheld.size();
    }

    /** Removes and returns the names to send next in a response of their own, or null if there are none. */
    List<String> pollHalf() {
        return halves.pollFirst();
    }
}
