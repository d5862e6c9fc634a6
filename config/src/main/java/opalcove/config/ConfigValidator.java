package opalcove.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Collects the problems of a settings file, so that a single start reports all of them, each with the file, the key and
 * the reason. Not thread-safe.
 */
public final class ConfigValidator {
    private final Path file;
    private final List<String> problems = new ArrayList<>();

    /** Creates a validator of this file that has found no problems yet. */
    public ConfigValidator(Path file) {
        this.file = file;
    }

    /**
     * Reads the file's fields; unknown keys are allowed.
     *
     * @throws InvalidConfigurationException immediately if the file cannot be read or parsed
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
     * Reads the file's fields and records each key that is not among the known ones as a problem.
     *
     * @throws InvalidConfigurationException immediately if the file cannot be read or parsed
     */
    public JsonFields fields(Set<String> knownKeys) {
        JsonFields fields = fields();
        fields.names().stream()
                .filter(key -> !knownKeys.contains(key))
                .forEach(key -> addProblem("field " + key + " is not known here"));
        return fields;
    }

    /** Returns the value, or records its problems and returns the fallback if it is invalid. */
    public <T> T valueOr(Supplier<T> value, T fallback) {
        try {
            return value.get();
        } catch (InvalidConfigurationException e) {
            e.problems().forEach(problem -> addProblem(problem.toString()));
            return fallback;
        }
    }

    /** Records a problem; its message is prefixed with the file's path. */
    public void addProblem(String problem) {
        problems.add(file + ": " + problem);
    }

    /**
     * Ends the validation.
     *
     * @throws InvalidConfigurationException with all recorded problems, one per line, if there are any
     */
    public void throwIfInvalid() {
        if (!problems.isEmpty()) {
            throw new InvalidConfigurationException(String.join("\n", problems));
        }
    }
}
