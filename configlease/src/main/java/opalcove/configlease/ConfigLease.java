package opalcove.configlease;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import opalcove.configlease.LeaseState.Mode;

/**
 * One gateway's part of agreed versions: when to have its version confirmed and by whom, and what it may act on meanwhile. It
 * makes no I/O and has no clock: it is told the time, and says what is to be asked. Not for several threads.
 *
 * <p>A voter's word says which version was the newest at some moment after the question was asked. So a version confirmed
 * by a question of time t was not followed by another before t, and may be acted on until t + lease: two gateways act on
 * two versions for a lease at most, whatever their clocks say, as long as these go at the same rate.
 */
public final class ConfigLease {
    /** What a lease has its host do. */
    public interface Host {
        /** Asks a voter for the newest version; the question may be lost. {@code version}: the one held, 0 for none. */
        void ask(String voter, long number, long version);

        /** What may be acted on has changed. text: the version's, told whenever the version is another. */
        void stands(LeaseState before, LeaseState after, String text);
    }

    /** What was done so far; expired: how often a full standing ended. */
    public record Counts(long asked, long confirmed, long expired, long adopted) {}

    /** Questions out at once, of which the oldest are forgotten. */
    private static final int MOST_OUT = 64;

    private final LeaseConfig figures;
    private final List<String> voters;
    private final Host host;
    private final Map<Long, Long> out = new LinkedHashMap<>();
    private LeaseState standing = new LeaseState(0, Mode.NONE, 0);
    private String text = "";
    private int voter;
    private long number;
    private long nextAsk;
    private long answerDue = Long.MAX_VALUE;
    private boolean heard;
    private long asked;
    private long confirmed;
    private long expired;
    private long adopted;

    /** A gateway that holds nothing yet; {@code first}: which of the voters it asks first. */
    public ConfigLease(long now, List<String> voters, int first, LeaseConfig figures, Host host) {
        this.voters = List.copyOf(voters);
        this.figures = figures;
        this.host = host;
        voter = Math.floorMod(first, voters.size());
        nextAsk = now;
    }

    /** What the holder may do now. */
    public LeaseState standing() {
        return standing;
    }

    /** Whether a voter has answered since the start, be it that there is no version yet. */
    public boolean heard() {
        return heard;
    }

    /** The text of the version held. */
    public String text() {
        return text;
    }

    /** How often the lease was asked for, confirmed, expired and taken over since the start. */
    public Counts counts() {
        return new Counts(asked, confirmed, expired, adopted);
    }

    /** When {@link #tick} has work. */
    public long due() {
        long due = Math.min(nextAsk, answerDue);
        return standing.mode() == Mode.FULL ? Math.min(due, standing.untilMs()) : due;
    }

    /** Does what is due; to be called before the version is acted on, too, for a process may have stood still. */
    public void tick(long now) {
        if (standing.mode() == Mode.FULL && now >= standing.untilMs()) {
            expired++;
            stand(new LeaseState(standing.version(), Mode.STRICT, standing.untilMs()));
        }
        if (now >= answerDue) {
            voter = (voter + 1) % voters.size();
            ask(now);
        } else if (now >= nextAsk) {
            ask(now);
        }
    }

    private void ask(long now) {
        nextAsk = now + figures.askMs();
        answerDue = now + figures.patienceMs();
        out.put(++number, now);
        if (out.size() > MOST_OUT) {
            out.remove(out.keySet().iterator().next());
        }
        asked++;
        host.ask(voters.get(voter), number, standing.version());
    }

    /** There may be a newer version than the one held: it is asked for at once, but taken from the answer alone. */
    public void news(long now, long version) {
        if (version > standing.version()) {
            ask(now);
        }
    }

    /**
     * A voter's answer: the newest version at some moment after the question; its text, null where the version is the one that
     * the question named. Answers to questions that are not out are passed over: their time is not known.
     */
    public void told(long now, long answered, long version, String versionText) {
        Long askedAt = out.remove(answered);
        if (askedAt == null || version < standing.version() || version > standing.version() && versionText == null) {
            return;
        }
        answerDue = Long.MAX_VALUE;
        heard = true;
        long until = Math.max(askedAt + figures.leaseMs(), standing.mode() == Mode.FULL ? standing.untilMs() : 0);
        if (version == 0 || now >= until) {
            return;
        }
        confirmed++;
        if (version > standing.version()) {
            adopted++;
            text = versionText;
        }
        stand(new LeaseState(version, Mode.FULL, until));
    }

    private void stand(LeaseState next) {
        LeaseState before = standing;
        standing = next;
        if (before.version() != next.version() || before.mode() != next.mode()) {
            host.stands(before, next, text);
        }
    }
}
