package opalcove.control.xds;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the resource that makes a client reject a response with several resources, by bisection. The resources of the
 * rejected response are sent again in two halves; a resource that is rejected alone is withheld until its version
 * changes.
 */
final class RejectionIsolator {
    /** Versions that were rejected in a response with no other resource, by resource name. */
    private final Map<String, String> withheld = new HashMap<>();

    private final Deque<List<String>> halves = new ArrayDeque<>();

    /**
     * Splits the resources of a rejected response, or withholds its only resource.
     *
     * @param latest the most recently sent versions, by resource name
     */
    void onRejected(PendingAck rejected, Map<String, String> latest) {
        List<String> suspects = new ArrayList<>();
        rejected.versions().forEach((name, version) -> {
            // A version that was sent later is acknowledged or rejected with its own response.
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

    /** Ends the withholding of the versions that the client has accepted. */
    void onAccepted(PendingAck accepted) {
        accepted.versions().forEach(withheld::remove);
    }

    /** Called before a version of a resource is sent; ends the withholding of any other version of it. */
    void onSent(String name, String version) {
        if (!version.equals(withheld.get(name))) {
            withheld.remove(name);
        }
    }

    /** Called when the resource was removed or the client has subscribed to it again. */
    void forget(String name) {
        withheld.remove(name);
    }

    boolean isWithheld(String name, String version) {
        return version.equals(withheld.get(name));
    }

    int withheldCount() {
        return withheld.size();
    }

    /** Removes and returns the names to send in the next separate response, or null if there are none. */
    List<String> pollHalf() {
        return halves.pollFirst();
    }
}
