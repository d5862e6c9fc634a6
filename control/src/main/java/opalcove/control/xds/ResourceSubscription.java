package opalcove.control.xds;

import com.google.rpc.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state of one resource type on one stream: the client's subscriptions, the versions sent and the acknowledgements
 * received. Does no I/O. Only the latest state is sent, regardless of the number of snapshots since the last response,
 * and changes are sent without waiting for acknowledgements.
 *
 * <p>After a rejected response (NACK) the client continues with the last state that it accepted. One invalid resource
 * in a response with several blocks the others: {@link RejectionIsolator} finds it, so that only this resource is
 * withheld until it changes.
 *
 * <p>Owned by the thread that calls its {@link XdsStream}.
 *
 * @param <RequestT> requests of this variant of the protocol
 * @param <ResponseT> responses of this variant
 */
abstract class ResourceSubscription<RequestT, ResponseT> {
    /** Recorded in place of a version after the client was informed that the resource does not exist. */
    static final String ABSENT = "";

    private static final String WILDCARD = "*";
    /** Maximum length of a rejection reason in characters; the text comes from the client and is truncated. */
    private static final int MAX_REASON_LENGTH = 500;

    private static final long NEVER = -1;

    final ResourceType type;
    private final Set<String> names = new LinkedHashSet<>();
    /** The most recently sent versions, by resource name. */
    private final Map<String, String> sent = new HashMap<>();
    /** Names to send even if the same version was sent before. */
    private final Set<String> forced = new LinkedHashSet<>();

    private final PendingAcks pendingAcks;
    private final RejectionIsolator rejections = new RejectionIsolator();
    private boolean opened;
    private boolean wildcard;
    private boolean responseDue;
    private boolean lastResponseHadNewNames;
    private Object lineage;
    private long sentRevision = NEVER;
    private long acknowledgedRevision = NEVER;
    private long acceptedCount;
    private long rejectedCount;
    private String rejectionReason = "";

    ResourceSubscription(ResourceType type, String noncePrefix) {
        this.type = type;
        pendingAcks = new PendingAcks(noncePrefix);
    }

    /** Applies the subscriptions of a request and its acknowledgement of an earlier response. */
    abstract void onRequest(RequestT request);

    /** Builds a response with these resources; it reports the absent names if this variant of the protocol can. */
    abstract ResponseT response(
            String nonce, ConfigSnapshot snapshot, Map<String, Resource> resources, Set<String> absent);

    /** Builds a response that renews the lifetime of these resources. */
    abstract ResponseT renewal(String nonce, ConfigSnapshot snapshot, List<Resource> resources);

    /** Whether each response of this variant for this type holds all subscribed resources. */
    abstract boolean sendsCompleteState();

    /** Whether a response with these resources and absent names carries information in this variant. */
    abstract boolean isMeaningful(Map<String, Resource> resources, Set<String> absent);

    /** Whether an acknowledgement also covers all responses before the one whose nonce it holds. */
    abstract boolean acknowledgesCumulatively();

    final boolean isOpened() {
        return opened;
    }

    final boolean isWildcard() {
        return wildcard;
    }

    final Set<String> names() {
        return names;
    }

    static boolean isWildcardName(String name) {
        return name.equals(WILDCARD);
    }

    private boolean isSubscribed(String name) {
        return wildcard || names.contains(name);
    }

    /**
     * Adds a name; its resource is sent even if it was sent before (xDS protocol, "unsubscribing and resubscribing").
     */
    final void subscribe(String name) {
        names.add(name);
        forced.add(name);
        rejections.forget(name);
    }

    /** Adds a name whose resource the client already has from an earlier stream. */
    final void resume(String name) {
        names.add(name);
    }

    final void unsubscribe(String name) {
        names.remove(name);
        forced.remove(name);
        if (wildcard) {
            forced.add(name); // the wildcard may still cover the name: the response says whether it does
        } else {
            sent.remove(name);
        }
    }

    final void setWildcard(boolean on) {
        if (on) {
            responseDue = true;
        } else {
            sent.keySet().removeIf(name -> !names.contains(name));
        }
        wildcard = on;
        sentRevision = NEVER;
    }

    /** Records a version that the client reports to have from an earlier stream. */
    final void onInitialVersion(String name, String version) {
        sent.put(name, version);
    }

    /** Marks a response as due: the first request of a type gets a response even if there is nothing to send. */
    final void open() {
        opened = true;
        responseDue = true;
    }

    final boolean isLatestNonce(String nonce) {
        return pendingAcks.isLatest(nonce);
    }

    /**
     * Applies an acknowledgement. An acknowledgement of a response that is not pending has no effect.
     *
     * @param error why the client rejected the response; null if it accepted the response
     */
    final void onAcknowledged(String nonce, Status error) {
        PendingAck acknowledged = pendingAcks.remove(nonce, acknowledgesCumulatively());
        if (acknowledged == null) {
            return;
        }
        if (error == null) {
            acceptedCount++;
            rejectionReason = "";
            rejections.onAccepted(acknowledged);
        } else {
            rejectedCount++;
            String reason = error.getMessage().isEmpty() ? "code " + error.getCode() : error.getMessage();
            rejectionReason = reason.length() > MAX_REASON_LENGTH ? reason.substring(0, MAX_REASON_LENGTH) : reason;
            rejections.onRejected(acknowledged, sent);
        }
        acknowledgedRevision = pendingAcks.isEmpty()
                ? sentRevision
                : Math.max(acknowledgedRevision, pendingAcks.oldest().revisionBefore());
    }

    /** Returns the response to send now, or null if none is due. */
    final ResponseT nextResponse(ConfigSnapshot snapshot, double nowMs) {
        if (!opened) {
            return null;
        }
        if (snapshot.lineage() != lineage) {
            // Guards a client that moves to another lineage of snapshots: revisions of different lineages are not
            // comparable, so changes would not be sent.
            lineage = snapshot.lineage();
            sentRevision = acknowledgedRevision = NEVER;
        }
        Set<String> changed = changedNames(snapshot);
        if (changed.isEmpty() && !responseDue) {
            coverWithoutResponse(snapshot);
            return pendingAcks.isEmpty() ? nextHalf(snapshot, nowMs) : null;
        }
        responseDue = false;
        forced.clear();
        Map<String, Resource> resources = new LinkedHashMap<>();
        Set<String> absent = new LinkedHashSet<>();
        collectResources(snapshot, changed, resources, absent);
        if (!isMeaningful(resources, absent)) {
            absent.forEach(this::recordAbsent);
            coverWithoutResponse(snapshot);
            return null;
        }
        ResponseT response = prepareResponse(snapshot, resources, absent, nowMs);
        sentRevision = snapshot.revision();
        return response;
    }

    /** Records that the client needs no response for this snapshot. */
    private void coverWithoutResponse(ConfigSnapshot snapshot) {
        if (pendingAcks.isEmpty() && acknowledgedRevision == sentRevision) {
            acknowledgedRevision = snapshot.revision();
        }
        sentRevision = snapshot.revision();
    }

    /**
     * Returns the names to send: newly subscribed names, and names whose version differs from the one that was sent.
     */
    private Set<String> changedNames(ConfigSnapshot snapshot) {
        Set<String> changed = new LinkedHashSet<>();
        forced.stream().filter(this::isSubscribed).forEach(changed::add);
        for (String name : candidates(snapshot)) {
            if (isSubscribed(name) && differsFromSent(name, snapshot.resource(type, name))) {
                changed.add(name);
            }
        }
        return changed;
    }

    /**
     * Returns the names whose resources may differ from those sent: the names changed since, or all if these are not
     * known.
     */
    private Set<String> candidates(ConfigSnapshot snapshot) {
        boolean comparable = sentRevision != NEVER && snapshot.lineage() == lineage;
        Set<String> changed = comparable ? snapshot.namesChangedSince(type, sentRevision) : null;
        if (changed == null) {
            changed = new HashSet<>(sent.keySet());
            changed.addAll(wildcard ? snapshot.resources(type).keySet() : names);
        }
        return changed;
    }

    private boolean differsFromSent(String name, Resource resource) {
        String before = sent.get(name);
        return resource == null
                ? before != null && !before.equals(ABSENT)
                : !resource.version().equals(before);
    }

    private void collectResources(
            ConfigSnapshot snapshot, Set<String> changed, Map<String, Resource> resources, Set<String> absent) {
        Set<String> included = changed;
        if (sendsCompleteState()) {
            included = wildcard ? snapshot.resources(type).keySet() : names;
        }
        for (String name : included) {
            Resource resource = snapshot.resource(type, name);
            if (resource == null) {
                absent.add(name);
            } else {
                resources.put(name, resource);
            }
        }
        changed.stream().filter(name -> snapshot.resource(type, name) == null).forEach(absent::add);
    }

    private void recordAbsent(String name) {
        rejections.forget(name);
        if (names.contains(name)) {
            sent.put(name, ABSENT);
        } else {
            sent.remove(name);
        }
    }

    private ResponseT prepareResponse(
            ConfigSnapshot snapshot, Map<String, Resource> resources, Set<String> absent, double nowMs) {
        Map<String, String> versions = new LinkedHashMap<>();
        lastResponseHadNewNames = false;
        resources.forEach((name, resource) -> {
            String before = sent.put(name, resource.version());
            lastResponseHadNewNames |= before == null || before.equals(ABSENT);
            versions.put(name, resource.version());
            rejections.onSent(name, resource.version());
        });
        for (String name : absent) {
            versions.put(name, ABSENT);
            recordAbsent(name);
        }
        return response(addPendingAck(versions, nowMs), snapshot, resources, absent);
    }

    private String addPendingAck(Map<String, String> versions, double nowMs) {
        return pendingAcks.add(versions, !sendsCompleteState(), sentRevision, nowMs);
    }

    /**
     * Returns a response with half of the resources of a rejected one, if the client is still subscribed to any; else
     * null.
     */
    private ResponseT nextHalf(ConfigSnapshot snapshot, double nowMs) {
        for (List<String> half = rejections.pollHalf(); half != null; half = rejections.pollHalf()) {
            Map<String, Resource> resources = new LinkedHashMap<>();
            for (String name : half) {
                Resource resource = snapshot.resource(type, name);
                if (resource != null && isSubscribed(name)) {
                    resources.put(name, resource);
                }
            }
            if (!resources.isEmpty()) {
                return prepareResponse(snapshot, resources, Set.of(), nowMs);
            }
        }
        return null;
    }

    /**
     * Returns a response that renews each resource with a lifetime whose latest version the client has; null if there
     * is none.
     */
    final ResponseT nextRenewal(ConfigSnapshot snapshot, double nowMs) {
        List<Resource> renewed = new ArrayList<>();
        sent.forEach((name, version) -> {
            Resource resource = snapshot.resource(type, name);
            if (resource != null
                    && resource.ttlMs() > 0
                    && resource.version().equals(version)
                    && !rejections.isWithheld(name, version)) {
                renewed.add(resource);
            }
        });
        return renewed.isEmpty() ? null : renewal(addPendingAck(Map.of(), nowMs), snapshot, renewed);
    }

    /** Whether the last response held resources that are new to the client and an acknowledgement is outstanding. */
    final boolean awaitsAckOfNewNames() {
        return lastResponseHadNewNames && !pendingAcks.isEmpty();
    }

    /** Whether all of this snapshot was sent to the client and acknowledged. */
    final boolean isUpToDate(ConfigSnapshot snapshot) {
        return !opened
                || pendingAcks.isEmpty()
                        && !responseDue
                        && changedNames(snapshot).isEmpty();
    }

    /** Whether the last acknowledgement was a rejection. */
    final boolean isRejecting() {
        return !rejectionReason.isEmpty();
    }

    /** Makes the next response compare all resources with what was sent. */
    final void compareAll() {
        sentRevision = NEVER;
    }

    /** Returns the sent and acknowledged state of the type on this stream. */
    final ClientVersions clientVersions(double nowMs) {
        return new ClientVersions(
                sentRevision,
                acknowledgedRevision,
                pendingAcks.isEmpty() ? 0 : nowMs - pendingAcks.oldest().sentAtMs(),
                acceptedCount,
                rejectedCount,
                rejectionReason,
                rejections.withheldCount());
    }
}
