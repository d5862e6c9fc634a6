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
 * One resource type on one stream: what the client subscribes to, what it was sent and what it acknowledged. Free of I/O. Only
 * the latest state is sent, however many snapshots went by, and changes are sent without waiting for acknowledgements.
 *
 * <p>A rejected response (NACK) leaves the client with its last good state. Of a response with several resources one may be at
 * fault and hold up the others: {@link RejectionIsolator} finds it, so that it alone is withheld until it has changed.
 *
 * <p>Owned by the thread of its {@link XdsStream}.
 *
 * @param <RequestT> requests of this variant of the protocol
 * @param <ResponseT> responses of this variant
 */
abstract class ResourceSubscription<RequestT, ResponseT> {
    /** Stands for a version where the client was sent that there is no such resource. */
    static final String ABSENT = "";

    private static final String WILDCARD = "*";
    /** The reason of a rejection is the client's own text and is cut here, in characters. */
    private static final int MAX_REASON_LENGTH = 500;

    private static final long NEVER = -1;

    final ResourceType type;
    private final Set<String> names = new LinkedHashSet<>();
    /** Versions sent, by resource name. */
    private final Map<String, String> sent = new HashMap<>();
    /** To be sent whatever was sent before. */
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

    /** Applies a request: its subscriptions, and its acknowledgement of an earlier response. */
    abstract void onRequest(RequestT request);

    /** Builds a response of these resources; names without a resource are reported as absent, where this variant can. */
    abstract ResponseT response(
            String nonce, ConfigSnapshot snapshot, Map<String, Resource> resources, Set<String> absent);

    /** Builds a response that has the client keep these resources for another lifetime. */
    abstract ResponseT renewal(String nonce, ConfigSnapshot snapshot, List<Resource> resources);

    /** Whether each response of this variant for this type holds all resources subscribed to. */
    abstract boolean sendsCompleteState();

    /** Whether a response of these resources and absent names says anything in this variant. */
    abstract boolean isMeaningful(Map<String, Resource> resources, Set<String> absent);

    /** Whether an acknowledgement covers the responses before the one that it names. */
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

    /** Adds a name, which is sent even if it was sent before (xDS protocol, "unsubscribing and resubscribing"). */
    final void subscribe(String name) {
        names.add(name);
        forced.add(name);
        rejections.forget(name);
    }

    /** Adds a name whose resource the client has from an earlier stream. */
    final void resume(String name) {
        names.add(name);
    }

    final void unsubscribe(String name) {
        names.remove(name);
        forced.remove(name);
        if (wildcard) {
            forced.add(name); // the wildcard may still cover it: the client is sent whether it does
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

    /** Notes a version that the client says it has. */
    final void onInitialVersion(String name, String version) {
        sent.put(name, version);
    }

    /** The first request of a type gets a response, even where there is nothing to send. */
    final void open() {
        opened = true;
        responseDue = true;
    }

    final boolean isLatestNonce(String nonce) {
        return pendingAcks.isLatest(nonce);
    }

    /**
     * Applies an acknowledgement; one for a response that is not pending has no effect.
     *
     * @param error why the client rejects the response; null if it accepts it
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

    /** The response to send now, or null if none is due. */
    final ResponseT nextResponse(ConfigSnapshot snapshot, double nowMs) {
        if (!opened) {
            return null;
        }
        if (snapshot.lineage() != lineage) {
            // Guards a client that moves to another lineage of snapshots: its revisions say nothing of what was sent.
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
        collect(snapshot, changed, resources, absent);
        if (!isMeaningful(resources, absent)) {
            absent.forEach(this::noteAbsent);
            coverWithoutResponse(snapshot);
            return null;
        }
        ResponseT response = prepare(snapshot, resources, absent, nowMs);
        sentRevision = snapshot.revision();
        return response;
    }

    /** This snapshot has nothing new for the client. */
    private void coverWithoutResponse(ConfigSnapshot snapshot) {
        if (pendingAcks.isEmpty() && acknowledgedRevision == sentRevision) {
            acknowledgedRevision = snapshot.revision();
        }
        sentRevision = snapshot.revision();
    }

    /** The names to send: subscribed to anew, or sent in another version than they have. */
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

    /** All names that may differ from what was sent: those changed since, or all where that is not known. */
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

    private void collect(
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

    private void noteAbsent(String name) {
        rejections.forget(name);
        if (names.contains(name)) {
            sent.put(name, ABSENT);
        } else {
            sent.remove(name);
        }
    }

    private ResponseT prepare(
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
            noteAbsent(name);
        }
        return response(awaitAck(versions, nowMs), snapshot, resources, absent);
    }

    private String awaitAck(Map<String, String> versions, double nowMs) {
        return pendingAcks.add(versions, !sendsCompleteState(), sentRevision, nowMs);
    }

    /** Half of the resources of a rejected response, as far as the client still wants them; null if there is none. */
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
                return prepare(snapshot, resources, Set.of(), nowMs);
            }
        }
        return null;
    }

    /** Renews the lifetime of all resources that have one and that the client has in this version; null if there are none. */
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
        return renewed.isEmpty() ? null : renewal(awaitAck(Map.of(), nowMs), snapshot, renewed);
    }

    /** Whether an acknowledgement is outstanding after a response with names that the client did not have. */
    final boolean awaitsAckOfNewNames() {
        return lastResponseHadNewNames && !pendingAcks.isEmpty();
    }

    /** Whether the client was sent all of this snapshot and has acknowledged it. */
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

    /** What the client of this stream has of the type. */
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
