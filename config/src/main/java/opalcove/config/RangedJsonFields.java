package opalcove.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The fields of one JSON object, each read within its range. A field that is wrong is recorded as a problem and read
 * as a stand-in, so that one pass finds all problems; what was read must not be used when there are any.
 */
final class RangedJsonFields {
    /** The control character DEL. */
    private static final char DELETE = 0x7f;

    private final JsonFields fields;
    private final List<InvalidConfigurationException.Problem> problems;
    private final Set<String> invalid = new HashSet<>();

    /** Reads these fields, and adds what is wrong to the problems. */
    RangedJsonFields(JsonFields fields, List<InvalidConfigurationException.Problem> problems) {
        this.fields = fields;
        this.problems = problems;
    }

    /** Records that a field is wrong. */
    void reject(String key, String reason) {
        problems.add(new InvalidConfigurationException.Problem(fields.at(key), reason));
        invalid.add(key);
    }

    /** Whether nothing was wrong with these fields, so that what was read of them may be compared. */
    boolean areValid(String... keys) {
        return Arrays.stream(keys).noneMatch(invalid::contains);
    }

    /** A number that must be there. */
    double number(String key, Range range) {
        return inRange(key, readOr(key, () -> fields.number(key), range.max()), range);
    }

    double numberOr(String key, double absent, Range range) {
        return fields.has(key) ? number(key, range) : absent;
    }

    /** A whole number that must be there; the range lies within that of an int. */
    int whole(String key, Range range) {
        return (int) inRange(key, readOr(key, () -> (double) fields.serial(key), range.max()), range);
    }

    int wholeOr(String key, int absent, Range range) {
        return fields.has(key) ? whole(key, range) : absent;
    }

    boolean flag(String key) {
        return readOr(key, () -> fields.flag(key), false);
    }

    String textOr(String key, String absent) {
        return readOr(key, () -> fields.textOr(key, absent), absent);
    }

    List<String> texts(String key) {
        return readOr(key, () -> fields.texts(key), List.of());
    }

    /** One of these options, or the first of them where the field is absent. */
    String oneOf(String key, List<String> options) {
        String option = textOr(key, options.get(0));
        if (!options.contains(option)) {
            reject(key, "has an unknown value " + option + ", it must be one of " + String.join(", ", options));
        }
        return option;
    }

    /** What one of these options stands for, in upper or lower case. */
    <T> T choice(String key, Map<String, T> options) {
        return readOr(key, () -> fields.choice(key, options), null);
    }

    /**
     * A name that a request can carry on every wire, where clients write names between commas, and that none of the taken
     * ones equals. It is taken then.
     */
    String uniqueName(String key, Set<String> taken) {
        String name = readOr(key, () -> fields.text(key), null);
        if (name == null) {
            return "";
        }
        if (name.isEmpty()
                || name.chars().anyMatch(character -> character <= ' ' || character == ',' || character == DELETE)) {
            reject(key, "must be a name without spaces, commas and control characters, not '" + name + "'");
        } else if (!taken.add(name)) {
            reject(key, "is there twice: " + name);
        }
        return name;
    }

    /** An object that must be there. */
    RangedJsonFields object(String key) {
        JsonFields object = readOr(key, () -> fields.object(key), null);
        // What is not there is one problem: the fields that it lacks are none of their own.
        return object == null
                ? new RangedJsonFields(JsonFields.parse("{}"), new ArrayList<>())
                : new RangedJsonFields(object, problems);
    }

    /** A list of objects with at least one. */
    List<RangedJsonFields> objects(String key) {
        List<JsonFields> items = readOr(key, () -> fields.objects(key), null);
        if (items == null) {
            return List.of();
        }
        if (items.isEmpty()) {
            reject(key, "must not be empty");
        }
        return items.stream().map(item -> new RangedJsonFields(item, problems)).toList();
    }

    private double inRange(String key, double value, Range range) {
        if (!range.contains(value)) {
            reject(key, range.requirement());
            return range.max();
        }
        return value;
    }

    private <T> T readOr(String key, Supplier<T> read, T standIn) {
        try {
            return read.get();
        } catch (InvalidConfigurationException e) {
            problems.addAll(e.problems());
            invalid.add(key);
            return standIn;
        }
    }
}
