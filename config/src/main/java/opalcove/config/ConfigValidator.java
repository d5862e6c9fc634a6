package opalcove.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Gathers the problems of a settings file, so that one start reports them all, each by file, key and reason. Used by
 * one thread.
 */
public final class ConfigValidator {
    private final Path file;
    private final List<String> problems = new ArrayList<>();

    /** Starts without problems found so far. */
    public ConfigValidator(Path file) {
        this.file = file;
    }

    /**
     * The file's fields, whatever further keys it has.
     *
     * @throws InvalidConfigurationException at once where the file cannot be read
     */
    public JsonFields fields() {
        try {
            return JsonFields.parse(Files.readString(file));
        } catch (IOException e) {
            throw new InvalidConfigurationException("cannot read " + file + ": " + e.getMessage());
        } catch (InvalidConfigurationException e) {
            throw new InvalidConfigurationException(file + ": " + e.getMessage());
        }
    }

    /**
     * The file's fields, of which only these keys are known; others are problems.
     *
     * @throws InvalidConfigurationException at once where the file cannot be read
     */
    public JsonFields fields(Set<String> keys) {
        JsonFields fields = fields();
        fields.names().stream()
                .filter(key -> !keys.contains(key))
                .forEach(key -> addProblem("field " + key + " is not known here"));
        return fields;
    }

    /** The value, or the other one where it has a problem. */
    public <T> T valueOr(Supplier<T> value, T otherwise) {
        try {
            return value.get();
        } catch (InvalidConfigurationException e) {
            e.problems().forEach(each -> addProblem(each.toString()));
            return otherwise;
        }
    }

    /** Adds a problem; the message is prefixed with the file's name. */
    public void addProblem(String problem) {
        problems.add(file + ": " + problem);
    }

    /**
     * Ends the validation.
     *
     * @throws InvalidConfigurationException with all problems that were found, if any
     */
    public void throwIfInvalid() {
        if (!problems.isEmpty()) {
            throw new InvalidConfigurationException(String.join("\n", problems));
        }
    }
}
