package opalcove.config;

import java.util.List;
import java.util.stream.Collectors;

/** Reports invalid settings or input. The message has one line per problem, with its key and the reason. */
public final class InvalidConfigurationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    /**
     * One problem of the settings or the input.
     *
     * @param key the path of the key, such as {@code settings.profiles[0].name}; empty if no single key is at fault
     * @param reason what is wrong with the value, worded to follow the key in a message
     */
    public record Problem(String key, String reason) {
        @Override
        public String toString() {
            return key.isEmpty() ? reason : "field " + key + " " + reason;
        }
    }

    /** Reports a problem that does not belong to a single key, or whose message already names the key. */
    public InvalidConfigurationException(String message) {
        this(List.of(new Problem("", message)));
    }

    /** Reports a problem of one key. */
    public InvalidConfigurationException(String key, String reason) {
        this(List.of(new Problem(key, reason)));
    }

    /** Reports all these problems, of which there must be at least one. */
    public InvalidConfigurationException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems in the order in which they were found. */
    public List<Problem> problems() {
        return problems;
    }
}
