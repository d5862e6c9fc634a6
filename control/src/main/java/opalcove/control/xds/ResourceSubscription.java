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
 * One type on one stream: what the proxy wants, what it was told, what it answered. Free of I/O. It owes the proxy the
 * latest state alone, however many views went by, and never waits for an answer before it tells news.
 *
 * <p>A refusal (NACK) leaves the proxy with its last good state. Of a response with several resources, one may be at
 * fault and the others held up by it: its resources are told again in halves, until the one that is refused alone is known;
 * that one is told again only when it has changed.
 *
 * @param <Q> requests of this variant of the protocol
 * @param <R> its responses
 */
abstract class ResourceSubscription<Q, R> {
    /** Answers owed beyond this are no longer waited for, oldest first: a proxy that never answers must not cost memory. */
    private static final int MOST_OWED = 64;
    /** A reason is cut here, characters: it is the proxy's own text. */
    private static final int MOST_REASON = 500;
    /** As a version told: the proxy was told that there is no such resource. */
    private static final String ABSENT = "";

    /** A response whose answer is owed: what it told, by name; before: the last view that earlier ones told all of. */
    private record PendingAck(String nonce, Map<String, String> told, boolean splittable, long before, double at) {}

    final ResourceType type;
    boolean opened;
    boolean wildcard;
    final Set<String> names = new LinkedHashSet<>();
    /** Versions told, by name. */
    private final Map<String, String> told = new HashMap<>();
    /** Told in that version, refused alone, not told again. */
    private final Map<String, String> refusedAlone = new HashMap<>();
    /** To be told whatever was told before. */
    private final Set<String> again = new LinkedHashSet<>();

    private final Deque<PendingAck> owed = new ArrayDeque<>();
    private final Deque<List<String>> halves = new ArrayDeque<>();
    private final String noncePrefix;
    private long nonces;
    private boolean unanswered;
    private boolean bringsNew;
    private Object line;
    private long toldSerial = -1;
    private long answeredSerial = -1;
    private long taken;
    private long refused;
    private String reason = "";

    ResourceSubscription(ResourceType type, String noncePrefix) {
        this.type = type;
        this.noncePrefix = noncePrefix;
    }

    /** Takes in a request: its subscriptions, and its answer to an earlier response. */
    abstract void request(Q request);

    /** Builds a response of these resources; names without one are told as absent, where this variant can. */
    abstract R response(String nonce, ConfigSnapshot view, Map<String, Resource> resources, Set<String> absent);

    /** Builds a response that has the proxy keep these resources for another lifetime. */
    abstract R heartbeat(String nonce, ConfigSnapshot view, List<Resource> resources);

    /** Whether this variant's response for this type always holds all. */
    abstract boolean whole();

    /** Whether a response of these says anything in this variant. */
    abstract boolean says(Map<String, Resource> resources, Set<String> absent);

    final boolean wants(String name) {
        return wildcard || names.contains(name);
    }

    /** Adds a name; it is told even if it was told before (xDS protocol, "unsubscribing and resubscribing"). */
    final void subscribe(String name) {
        names.add(name);
        again.add(name);
        refusedAlone.remove(name);
    }

    final void unsubscribe(String name) {
        names.remove(name);
        again.remove(name);
        if (wildcard) {
            again.add(name); // it may still be in the wildcard: the proxy is told which
        } else {
            told.remove(name);
        }
    }

    final void wildcard(boolean on) {
        if (on) {
            unanswered = true;
        } else {
            told.keySet().removeIf(name -> !names.contains(name));
        }
        wildcard = on;
        toldSerial = -1;
    }

    /** A version that the proxy says it has. */
    final void has(String name, String version) {
        told.put(name, version);
    }

    /** The first request of a type gets an answer, even where there is nothing to tell. */
    final void open() {
        opened = true;
        unanswered = true;
    }

    final boolean isLast(String nonce) {
        return nonce.equals(noncePrefix + nonces);
    }

    /** Whether an answer stands for those owed before it, too. */
    abstract boolean answersForEarlier();

    /** Takes in an answer to the response with that nonce; nothing where no such answer is owed. */
    final void answered(String nonce, Status error) {
        PendingAck answered = owed.stream()
                .filter(each -> each.nonce.equals(nonce))
                .findFirst()
                .orElse(null);
        if (answered == null) {
            return;
        }
        while (answersForEarlier() && owed.peekFirst() != answered) {
            owed.removeFirst();
        }
        owed.remove(answered);
        if (error == null) {
            taken++;
            reason = "";
            answered.told.forEach(refusedAlone::remove);
        } else {
            refused++;
            String text = error.getMessage().isEmpty() ? "code " + error.getCode() : error.getMessage();
            reason = text.length() > MOST_REASON ? text.substring(0, MOST_REASON) : text;
            refused(answered);
        }
        answeredSerial = owed.isEmpty() ? toldSerial : Math.max(answeredSerial, owed.peekFirst().before);
    }

    private void refused(PendingAck answered) {
        List<String> suspects = new ArrayList<>();
        answered.told.forEach((name, version) -> {
            // What was told anew since has an answer of its own to come.
            if (!version.equals(ABSENT) && version.equals(told.get(name))) {
                suspects.add(name);
            }
        });
        if (suspects.size() == 1) {
            refusedAlone.put(suspects.get(0), answered.told.get(suspects.get(0)));
        } else if (answered.splittable && !suspects.isEmpty()) {
            halves.add(List.copyOf(suspects.subList(0, suspects.size() / 2)));
            halves.add(List.copyOf(suspects.subList(suspects.size() / 2, suspects.size())));
        }
    }

    /** What the proxy is to be told now, or null. */
    final R due(ConfigSnapshot view, double now) {
        if (!opened) {
            return null;
        }
        if (view.line() != line) {
            // Guards a proxy that is shown another line of views: that one's serials say nothing of what it was told.
            line = view.line();
            toldSerial = answeredSerial = -1;
        }
        Set<String> news = news(view);
        if (news.isEmpty() && !unanswered) {
            upTo(view);
            return owed.isEmpty() ? half(view, now) : null;
        }
        Map<String, Resource> resources = new LinkedHashMap<>();
        Set<String> absent = new LinkedHashSet<>();
        if (whole()) {
            for (String name : wildcard ? view.all(type).keySet() : names) {
                put(view, name, resources, absent);
            }
            news.stream().filter(name -> view.get(type, name) == null).forEach(absent::add);
        } else {
            news.forEach(name -> put(view, name, resources, absent));
        }
        unanswered = false;
        again.clear();
        if (!says(resources, absent)) {
            absent.forEach(this::absent);
            upTo(view);
            return null;
        }
        R response = tell(view, resources, absent, now);
        toldSerial = view.serial();
        return response;
    }

    /** This view has no news for the proxy. */
    private void upTo(ConfigSnapshot view) {
        if (owed.isEmpty() && answeredSerial == toldSerial) {
            answeredSerial = view.serial();
        }
        toldSerial = view.serial();
    }

    private void absent(String name) {
        refusedAlone.remove(name);
        if (names.contains(name)) {
            told.put(name, ABSENT);
        } else {
            told.remove(name);
        }
    }

    /** The names to tell: asked for anew, or told in another version than they have. */
    private Set<String> news(ConfigSnapshot view) {
        Set<String> news = new LinkedHashSet<>();
        again.stream().filter(this::wants).forEach(news::add);
        Set<String> touched = toldSerial < 0 || view.line() != line ? null : view.touchedSince(type, toldSerial);
        if (touched == null) {
            touched = new HashSet<>(told.keySet());
            touched.addAll(wildcard ? view.all(type).keySet() : names);
        }
        for (String name : touched) {
            if (wants(name)) {
                Resource now = view.get(type, name);
                String before = told.get(name);
                if (now == null
                        ? before != null && !before.equals(ABSENT)
                        : !now.version().equals(before)) {
                    news.add(name);
                }
            }
        }
        return news;
    }

    private void put(ConfigSnapshot view, String name, Map<String, Resource> resources, Set<String> absent) {
        Resource resource = view.get(type, name);
        if (resource == null) {
            absent.add(name);
        } else {
            resources.put(name, resource);
        }
    }

    private R tell(ConfigSnapshot view, Map<String, Resource> resources, Set<String> absent, double now) {
        Map<String, String> versions = new LinkedHashMap<>();
        bringsNew = false;
        resources.forEach((name, resource) -> {
            String before = told.get(name);
            bringsNew |= before == null || before.equals(ABSENT);
            versions.put(name, resource.version());
            told.put(name, resource.version());
            if (!resource.version().equals(refusedAlone.get(name))) {
                refusedAlone.remove(name);
            }
        });
        for (String name : absent) {
            versions.put(name, ABSENT);
            absent(name);
        }
        return response(owe(versions, now), view, resources, absent);
    }

    /** Notes that an answer is owed; gives its nonce. */
    private String owe(Map<String, String> versions, double now) {
        String nonce = noncePrefix + ++nonces;
        if (owed.size() == MOST_OWED) {
            owed.removeFirst();
        }
        owed.addLast(new PendingAck(nonce, versions, !whole(), toldSerial, now));
        return nonce;
    }

    /** Renews the lifetime of all that has one and that the proxy was told in this version; null: there is none. */
    final R renewal(ConfigSnapshot view, double now) {
        List<Resource> renewed = new ArrayList<>();
        told.forEach((name, version) -> {
            Resource resource = view.get(type, name);
            if (resource != null
                    && resource.ttlMs() > 0
                    && resource.version().equals(version)
                    && !version.equals(refusedAlone.get(name))) {
                renewed.add(resource);
            }
        });
        return renewed.isEmpty() ? null : heartbeat(owe(Map.of(), now), view, renewed);
    }

    /** Whether the proxy still owes an answer to a response that brought names it did not have. */
    final boolean awaitsNewNames() {
        return bringsNew && !owed.isEmpty();
    }

    /** Whether it has been told all of this view and has answered for it. */
    final boolean settled(ConfigSnapshot view) {
        return !opened || owed.isEmpty() && !unanswered && news(view).isEmpty();
    }

    /** Whether the last answer was a refusal. */
    final boolean refusing() {
        return !reason.isEmpty();
    }

    /** Has all compared anew with what was told. */
    final void recheck() {
        toldSerial = -1;
    }

    /** One half of what was refused together, as long as it is still what the proxy was told last. */
    private R half(ConfigSnapshot view, double now) {
        while (!halves.isEmpty()) {
            Map<String, Resource> resources = new LinkedHashMap<>();
            for (String name : halves.removeFirst()) {
                Resource resource = view.get(type, name);
                if (resource != null && wants(name)) {
                    resources.put(name, resource);
                }
            }
            if (!resources.isEmpty()) {
                return tell(view, resources, Set.of(), now);
            }
        }
        return null;
    }

    /** What this proxy is known to know. */
    final ClientVersions knowledge(double now) {
        return new ClientVersions(
                toldSerial,
                answeredSerial,
                owed.isEmpty() ? 0 : now - owed.peekFirst().at,
                taken,
                refused,
                reason,
                refusedAlone.size());
    }
}
