package opalcove.control.xds;

import com.google.rpc.Status;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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
 * fault and hold up the others: its resources are sent
 * forced in halves until the one that is rejected alone is known, which is then withheld until it has changed.
 *
 * <p>Owned by the thread of its {@link XdsStream}.
 *
 * @param <RequestT> requests of this variant of the protocol
 * @param <ResponseT> responses of this variant
 */
abstract class ResourceSubscription<RequestT, ResponseT> {
    /** Answers pendingAcks beyond this are no longer waited for, oldest first: a proxy that never answers must not cost memory. */
    private static final int MAX_PENDING_ACKS = 64;
    /** A reason is cut here, characters: it is the proxy's own text. */
    private static final int MAX_REASON_LENGTH = 500;
    /** As a version sent: the proxy was sent that there is no such resource. */
    private static final String ABSENT = "";

    private static final String WILDCARD = "*";

    /** A response whose answer is pendingAcks: what it sent, by name; before: the last snapshot that earlier ones sent all of. */
    private record PendingAck(
            String nonce, Map<String, String> versions, boolean splittable, long revisionBefore, double sentAtMs) {}

    final ResourceType type;
    private boolean opened;
    private boolean wildcard;
    private final Set<String> names = new LinkedHashSet<>();
    /** Versions sent, by name. */
    private final Map<String, String> sent = new HashMap<>();
    /** Told in that version, refused alone, not sent forced. */
    private final Map<String, String> withheld = new HashMap<>();
    /** To be sent whatever was sent before. */
    private final Set<String> forced = new LinkedHashSet<>();

    private final Deque<PendingAck> pendingAcks = new ArrayDeque<>();
    private final Deque<List<String>> halves = new ArrayDeque<>();
    private final String noncePrefix;
    private long nonces;
    private boolean responseDue;
    private boolean lastResponseHadNewNames;
    private Object lineage;
    private long sentRevision = -1;
    private long acknowledgedRevision = -1;
    private long acceptedCount;
    private long rejectedCount;
    private String rejectionReason = "";

    ResourceSubscription(ResourceType type, String noncePrefix) {
        this.type = type;
        this.noncePrefix = noncePrefix;
    }

    /** Takes in a request: its subscriptions, and its answer to an earlier response. */
    abstract void onRequest(RequestT request);

    /** Builds a response of these resources; names without one are sent as absent, where this variant can. */
    abstract ResponseT response(
            String nonce, ConfigSnapshot snapshot, Map<String, Resource> resources, Set<String> absent);

    /** Builds a response that has the proxy keep these resources for another lifetime. */
    abstract ResponseT renewal(String nonce, ConfigSnapshot snapshot, List<Resource> resources);

    /** Whether this variant's response for this type always holds all. */
    abstract boolean sendsCompleteState();

    /** Whether a response of these says anything in this variant. */
    abstract boolean isMeaningful(Map<String, Resource> resources, Set<String> absent);

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

    /** Adds a name whose resource the client has from an earlier stream. */
    final void resume(String name) {
        names.add(name);
    }

    /** Adds a name; it is sent even if it was sent before (xDS protocol, "unsubscribing and resubscribing"). */
    final void subscribe(String name) {
        names.add(name);
        forced.add(name);
        withheld.remove(name);
    }

    final void unsubscribe(String name) {
        names.remove(name);
        forced.remove(name);
        if (wildcard) {
            forced.add(name); // it may still be in the wildcard: the proxy is sent which
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
        sentRevision = -1;
    }

    /** A version that the proxy says it has. */
    final void onInitialVersion(String name, String version) {
        sent.put(name, version);
    }

    /** The first request of a type gets an answer, even where there is nothing to tell. */
    final void open() {
        opened = true;
        responseDue = true;
    }

    final boolean isLatestNonce(String nonce) {
        return nonce.equals(noncePrefix + nonces);
    }

    /** Whether an answer stands for those pendingAcks before it, too. */
    abstract boolean acknowledgesCumulatively();

    /** Takes in an answer to the response with that nonce; nothing where no such answer is pendingAcks. */
    final void onAcknowledged(String nonce, Status error) {
        PendingAck acknowledged = pendingAcks.stream()
                .filter(each -> each.nonce.equals(nonce))
                .findFirst()
                .orElse(null);
        if (acknowledged == null) {
            return;
        }
        while (acknowledgesCumulatively() && pendingAcks.peekFirst() != acknowledged) {
            pendingAcks.removeFirst();
        }
        pendingAcks.remove(acknowledged);
        if (error == null) {
            acceptedCount++;
            rejectionReason = "";
            acknowledged.versions.forEach(withheld::remove);
        } else {
            rejectedCount++;
            String text = error.getMessage().isEmpty() ? "code " + error.getCode() : error.getMessage();
            rejectionReason = text.length() > MAX_REASON_LENGTH ? text.substring(0, MAX_REASON_LENGTH) : text;
            onRejected(acknowledged);
        }
        acknowledgedRevision = pendingAcks.isEmpty()
                ? sentRevision
                : Math.max(acknowledgedRevision, pendingAcks.peekFirst().revisionBefore);
    }

    private void onRejected(PendingAck acknowledged) {
        List<String> suspects = new ArrayList<>();
        acknowledged.versions.forEach((name, version) -> {
            // What was sent anew since has an answer of its own to come.
            if (!version.equals(ABSENT) && version.equals(sent.get(name))) {
                suspects.add(name);
            }
        });
        if (suspects.size() == 1) {
            withheld.put(suspects.get(0), acknowledged.versions.get(suspects.get(0)));
        } else if (acknowledged.splittable && !suspects.isEmpty()) {
            halves.add(List.copyOf(suspects.subList(0, suspects.size() / 2)));
            halves.add(List.copyOf(suspects.subList(suspects.size() / 2, suspects.size())));
        }
    }

    /** What the proxy is to be sent now, or null. */
    final ResponseT nextResponse(ConfigSnapshot snapshot, double nowMs) {
        if (!opened) {
            return null;
        }
        if (snapshot.lineage() != lineage) {
            // Guards a proxy that is shown another lineage of views: that one's serials say nothing of what it was
            // sent.
            lineage = snapshot.lineage();
            sentRevision = acknowledgedRevision = -1;
        }
        Set<String> changed = changedNames(snapshot);
        if (changed.isEmpty() && !responseDue) {
            coverWithoutResponse(snapshot);
            return pendingAcks.isEmpty() ? nextHalf(snapshot, nowMs) : null;
        }
        Map<String, Resource> resources = new LinkedHashMap<>();
        Set<String> absent = new LinkedHashSet<>();
        if (sendsCompleteState()) {
            for (String name : wildcard ? snapshot.resources(type).keySet() : names) {
                put(snapshot, name, resources, absent);
            }
            changed.stream()
                    .filter(name -> snapshot.resource(type, name) == null)
                    .forEach(absent::add);
        } else {
            changed.forEach(name -> put(snapshot, name, resources, absent));
        }
        responseDue = false;
        forced.clear();
        if (!isMeaningful(resources, absent)) {
            absent.forEach(this::noteAbsent);
            coverWithoutResponse(snapshot);
            return null;
        }
        ResponseT response = prepare(snapshot, resources, absent, nowMs);
        sentRevision = snapshot.revision();
        return response;
    }

    /** This snapshot has no changed for the proxy. */
    private void coverWithoutResponse(ConfigSnapshot snapshot) {
        if (pendingAcks.isEmpty() && acknowledgedRevision == sentRevision) {
            acknowledgedRevision = snapshot.revision();
        }
        sentRevision = snapshot.revision();
    }

    private void noteAbsent(String name) {
        withheld.remove(name);
        if (names.contains(name)) {
            sent.put(name, ABSENT);
        } else {
            sent.remove(name);
        }
    }

    /** The names to tell: asked for anew, or sent in another version than they have. */
    private Set<String> changedNames(ConfigSnapshot snapshot) {
        Set<String> changed = new LinkedHashSet<>();
        forced.stream().filter(this::isSubscribed).forEach(changed::add);
        Set<String> touched = sentRevision < 0 || snapshot.lineage() != lineage
                ? null
                : snapshot.namesChangedSince(type, sentRevision);
        if (touched == null) {
            touched = new HashSet<>(sent.keySet());
            touched.addAll(wildcard ? snapshot.resources(type).keySet() : names);
        }
        for (String name : touched) {
            if (isSubscribed(name)) {
                Resource now = snapshot.resource(type, name);
                String before = sent.get(name);
                if (now == null
                        ? before != null && !before.equals(ABSENT)
                        : !now.version().equals(before)) {
                    changed.add(name);
                }
            }
        }
        return changed;
    }

    private void put(ConfigSnapshot snapshot, String name, Map<String, Resource> resources, Set<String> absent) {
        Resource resource = snapshot.resource(type, name);
        if (resource == null) {
            absent.add(name);
        } else {
            resources.put(name, resource);
        }
    }

    private ResponseT prepare(
            ConfigSnapshot snapshot, Map<String, Resource> resources, Set<String> absent, double nowMs) {
        Map<String, String> versions = new LinkedHashMap<>();
        lastResponseHadNewNames = false;
        resources.forEach((name, resource) -> {
            String before = sent.get(name);
            lastResponseHadNewNames |= before == null || before.equals(ABSENT);
            versions.put(name, resource.version());
            sent.put(name, resource.version());
            if (!resource.version().equals(withheld.get(name))) {
                withheld.remove(name);
            }
        });
        for (String name : absent) {
            versions.put(name, ABSENT);
            noteAbsent(name);
        }
        return response(awaitAck(versions, nowMs), snapshot, resources, absent);
    }

    /** Notes that an answer is pendingAcks; gives its nonce. */
    private String awaitAck(Map<String, String> versions, double nowMs) {
        String nonce = noncePrefix + ++nonces;
        if (pendingAcks.size() == MAX_PENDING_ACKS) {
            pendingAcks.removeFirst();
        }
        pendingAcks.addLast(new PendingAck(nonce, versions, !sendsCompleteState(), sentRevision, nowMs));
        return nonce;
    }

    /** Renews the lifetime of all that has one and that the proxy was sent in this version; null: there is none. */
    final ResponseT nextRenewal(ConfigSnapshot snapshot, double nowMs) {
        List<Resource> renewed = new ArrayList<>();
        sent.forEach((name, version) -> {
            Resource resource = snapshot.resource(type, name);
            if (resource != null
                    && resource.ttlMs() > 0
                    && resource.version().equals(version)
                    && !version.equals(withheld.get(name))) {
                renewed.add(resource);
            }
        });
        return renewed.isEmpty() ? null : renewal(awaitAck(Map.of(), nowMs), snapshot, renewed);
    }

    /** Whether the proxy still owes an answer to a response that brought names it did not have. */
    final boolean awaitsAckOfNewNames() {
        return lastResponseHadNewNames && !pendingAcks.isEmpty();
    }

    /** Whether it has been sent all of this snapshot and has acknowledged for it. */
    final boolean isUpToDate(ConfigSnapshot snapshot) {
        return !opened
                || pendingAcks.isEmpty()
                        && !responseDue
                        && changedNames(snapshot).isEmpty();
    }

    /** Whether the last answer was a refusal. */
    final boolean isRejecting() {
        return !rejectionReason.isEmpty();
    }

    /** Has all compared anew with what was sent. */
    final void compareAll() {
        sentRevision = -1;
    }

    /** One half of what was refused together, as long as it is still what the proxy was sent last. */
    private ResponseT nextHalf(ConfigSnapshot snapshot, double nowMs) {
        while (!halves.isEmpty()) {
            Map<String, Resource> resources = new LinkedHashMap<>();
            for (String name : halves.removeFirst()) {
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

    /** What this proxy is known to know. */
    final ClientVersions clientVersions(double nowMs) {
        return new ClientVersions(
                sentRevision,
                acknowledgedRevision,
                pendingAcks.isEmpty() ? 0 : nowMs - pendingAcks.peekFirst().sentAtMs,
                acceptedCount,
                rejectedCount,
                rejectionReason,
                withheld.size());
    }
}
