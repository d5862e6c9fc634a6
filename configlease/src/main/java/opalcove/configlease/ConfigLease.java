package opalcove.configlease;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import opalcove.configlease.LeaseState.Mode;

/**
 * One gateway's lease on the configuration: when to have its version confirmed by which voter, and what the gateway may
 * act on meanwhile. It does no I/O and reads no clock: the host passes the time in, in ms of a monotonic clock. Not
 * thread-safe; owned by one thread of its host.
 *
 * <p>A voter's response names the version that was the newest at some moment after the request. So a version confirmed
 * by a request of time t was not followed by another one before t, and may be acted on until t + lease: two gateways
 * act on two versions for at most one lease, whatever their clocks show, as long as the clocks run at the same rate.
 */
public final class ConfigLease {
    /** The effects of a lease, on the thread that calls it. */
    public interface Host {
        /** Requests the newest version from a voter, without any guarantee of delivery; heldVersion is 0 for none. */
        void requestVersion(String voter, long sequence, long heldVersion);

        /** Version or mode have changed; text is the document of the version held. */
        void leaseChanged(LeaseState before, LeaseState after, String text);
    }

    /**
     * How often each event has occurred since the start.
     *
     * @param requested requests for the newest version
     * @param confirmed responses that renewed the lease
     * @param expired leases that ended without a renewal in time
     * @param adopted newer versions taken over
     */
    public record Counts(long requested, long confirmed, long expired, long adopted) {}

    /** Maximum number of requests in flight; beyond it the oldest ones are forgotten. */
    private static final int MAX_REQUESTS_IN_FLIGHT = 64;

    private final LeaseConfig config;
    private final List<String> voters;
    private final Host host;
    private final Map<Long, Long> requestTimesMs = new LinkedHashMap<>();
    private LeaseState state = new LeaseState(0, Mode.NONE, 0);
    private String text = "";
    private int voterIndex;
    private long lastSequence;
    private long nextRequestMs;
    private long responseDueMs = Long.MAX_VALUE;
    private boolean hasResponse;
    private long requested;
    private long confirmed;
    private long expired;
    private long adopted;

    /** A gateway that holds no version yet; firstVoter is the index of the voter that gets the first request. */
    public ConfigLease(long nowMs, List<String> voters, int firstVoter, LeaseConfig config, Host host) {
        this.voters = List.copyOf(voters);
        this.config = config;
        this.host = host;
        voterIndex = Math.floorMod(firstVoter, voters.size());
        nextRequestMs = nowMs;
    }

    /** What the gateway may act on now. */
    public LeaseState state() {
        return state;
    }

    /** Whether a voter has responded since the start, even if only that there is no version yet. */
    public boolean hasResponse() {
        return hasResponse;
    }

    /** The document of the version held; empty before the first. */
    public String text() {
        return text;
    }

    /** How often each event has occurred since the start. */
    public Counts counts() {
        return new Counts(requested, confirmed, expired, adopted);
    }

    /** When {@link #tick} is next to be called at the latest, in ms. */
    public long nextTickMs() {
        long dueMs = Math.min(nextRequestMs, responseDueMs);
        return state.mode() == Mode.FULL ? Math.min(dueMs, state.expiresAtMs()) : dueMs;
    }

    /**
     * Does what is due. To be called before the version is acted on, too: the process may have stood still past the
     * lease.
     */
    public void tick(long nowMs) {
        expireIfDue(nowMs);
        if (nowMs >= responseDueMs) {
            voterIndex = (voterIndex + 1) % voters.size();
            request(nowMs);
        } else if (nowMs >= nextRequestMs) {
            request(nowMs);
        }
    }

    /**
     * Ends a lease that has run out, as {@link #tick} does. Guards against a response that renews such a lease: its host
     * may be late with the tick.
     */
    public void expireIfDue(long nowMs) {
        if (state.mode() == Mode.FULL && nowMs >= state.expiresAtMs()) {
            expired++;
            transitionTo(new LeaseState(state.version(), Mode.STRICT, state.expiresAtMs()));
        }
    }

    private void request(long nowMs) {
        nextRequestMs = nowMs + config.renewPeriodMs();
        responseDueMs = nowMs + config.responseTimeoutMs();
        requestTimesMs.put(++lastSequence, nowMs);
        if (requestTimesMs.size() > MAX_REQUESTS_IN_FLIGHT) {
            requestTimesMs.remove(requestTimesMs.keySet().iterator().next());
        }
        requested++;
        host.requestVersion(voters.get(voterIndex), lastSequence, state.version());
    }

    /** Handles the announcement of a version: a newer one is requested at once, but adopted from the response alone. */
    public void onVersionAnnounced(long nowMs, long version) {
        expireIfDue(nowMs);
        if (version > state.version()) {
            request(nowMs);
        }
    }

    /**
     * Handles a voter's response: the newest version at some moment after the request, and its document, null if the
     * version is the one that the request named. Responses to requests that are not in flight are ignored: the time of
     * their request is not known.
     */
    public void onResponse(long nowMs, long sequence, long version, String versionText) {
        expireIfDue(nowMs);
        Long requestedAtMs = requestTimesMs.remove(sequence);
        if (requestedAtMs == null || version < state.version() || version > state.version() && versionText == null) {
            return;
        }
        responseDueMs = Long.MAX_VALUE;
        hasResponse = true;
        long expiresAtMs =
                Math.max(requestedAtMs + config.leaseMs(), state.mode() == Mode.FULL ? state.expiresAtMs() : 0);
        if (version == 0 || nowMs >= expiresAtMs) {
            return;
        }
        confirmed++;
        if (version > state.version()) {
            adopted++;
            text = versionText;
        }
        transitionTo(new LeaseState(version, Mode.FULL, expiresAtMs));
    }

    private void transitionTo(LeaseState next) {
        LeaseState before = state;
        state = next;
        if (before.version() != next.version() || before.mode() != next.mode()) {
            host.leaseChanged(before, next, text);
        }
    }
}
