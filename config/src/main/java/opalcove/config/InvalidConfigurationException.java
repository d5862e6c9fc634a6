package opalcove.config;

import java.util.List;
import java.util.stream.Collectors;

/** Settings or input of the wrong form; the message has one line a problem, with its key and the reason. */
public final class InvalidConfigurationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    /**
     * One thing that is wrong.
     *
     * @param key the path of the key, such as {@code settings.profiles[0].name}; empty where no single key is at fault
     * @param reason what is wrong with it, to be read after the key
     */
    public record Problem(String key, String reason) {
        @Override
        public String toString() {
            return key.isEmpty() ? reason : "field " + key + " " + reason;
        }
    }

    /** A problem that is no single key's, or that names its key itself. */
    public InvalidConfigurationException(String message) {
        this(List.of(new Problem("", message)));
    }

    /** A problem of one key. */
    public InvalidConfigurationException(String key, String reason) {
        this(List.of(new Problem(key, reason)));
    }

    /** All problems that were found; at least one. */
    public InvalidConfigurationException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** The problems, in the order in which they were found. */
    public List<Problem> problems() {
        return problems;
    }
}
