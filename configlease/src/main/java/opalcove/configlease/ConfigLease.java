package opalcove.configlease;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import opalcove.configlease.LeaseState.Mode;

/**
 * One gateway's lease on its configuration version. It decides when to confirm the version with which voter, and how
 * much of the version is in effect until then. It does no I/O and reads no clock: the host passes the time to each
 * call, in ms of a monotonic clock. Not thread-safe; owned by one thread of its host.
 *
 * <p>A voter's response names the version that was the newest at some moment after the request. A version confirmed by
 * a request sent at time t therefore had no successor before t, and stays in effect until t + lease. Two gateways apply
 * two different versions for at most one lease, whatever their clocks show, as long as the clocks run at the same rate.
 */
public final class ConfigLease {
    /** Performs the lease's side effects. The lease calls it on the thread that calls the lease. */
    public interface Host {
        /**
         * Requests the newest version from a voter. The request or its response may be lost. heldVersion is the number
         * of the version held, 0 if there is none.
         */
        void requestVersion(String voter, long sequence, long heldVersion);

        /** Called after a change of version or mode; text is the document of the version held. */
        void leaseChanged(LeaseState before, LeaseState after, String text);
    }

    /**
     * How often each event has occurred since the start.
     *
     * @param requested requests sent for the newest version
     * @param confirmed responses that renewed the lease
     * @param expired leases that expired because they were not renewed in time
     * @param adopted newer versions adopted from a response
     */
    public record Counts(long requested, long confirmed, long expired, long adopted) {}

    /** Maximum number of requests in flight. A further one removes the oldest, whose response is then ignored. */
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

    /** Creates the lease of a gateway without a version; firstVoter is the index of the voter requested first. */
    public ConfigLease(long nowMs, List<String> voters, int firstVoter, LeaseConfig config, Host host) {
        this.voters = List.copyOf(voters);
        this.config = config;
        this.host = host;
        voterIndex = Math.floorMod(firstVoter, voters.size());
        nextRequestMs = nowMs;
    }

    /** Returns the version held and its mode as of the last call. */
    public LeaseState state() {
        return state;
    }

    /** Whether a voter has responded since the start, even if the response was that there is no version yet. */
    public boolean hasResponse() {
        return hasResponse;
    }

    /** Returns the document of the version held; empty before the first version. */
    public String text() {
        return text;
    }

    /** Returns how often each event has occurred since the start. */
    public Counts counts() {
        return new Counts(requested, confirmed, expired, adopted);
    }

    /** Returns the time by which {@link #tick} has to be called next, in ms. */
    public long nextTickMs() {
        long dueMs = Math.min(nextRequestMs, responseDueMs);
        return state.mode() == Mode.FULL ? Math.min(dueMs, state.expiresAtMs()) : dueMs;
    }

    /**
     * Expires the lease and sends the next request, if they are due. Call it also before using the version: the process
     * may have been paused past the end of the lease.
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
     * Expires a lease whose end has passed, as {@link #tick} does. When the host calls {@link #tick} late, this guards
     * against a response that renews an expired lease without a strict mode in between.
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

    /** Handles the announcement of a version. Requests a newer one at once, but adopts it only from the response. */
    public void onVersionAnnounced(long nowMs, long version) {
        expireIfDue(nowMs);
        if (version > state.version()) {
            request(nowMs);
        }
    }

    /**
     * Handles a voter's response. It holds the number of the newest version at some moment after the request, and the
     * document of that version, which is null if the request already named the version. A response whose request is not
     * in flight is ignored, because the time of its request, from which the lease runs, is unknown.
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
