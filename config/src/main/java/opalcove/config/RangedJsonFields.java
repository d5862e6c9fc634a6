package opalcove.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The fields of one JSON object, each checked against its range. An invalid field is recorded as a problem and read as
 * a placeholder, so that one pass finds all problems. The values must not be used if there are any problems. Not
 * thread-safe.
 */
final class RangedJsonFields {
    private static final char DELETE_CHARACTER = 0x7f;

    private final JsonFields fields;
    private final List<InvalidConfigurationException.Problem> problems;
    private final Set<String> invalid = new HashSet<>();

    /** Creates a reader of these fields that adds each problem to the list. */
    RangedJsonFields(JsonFields fields, List<InvalidConfigurationException.Problem> problems) {
        this.fields = fields;
        this.problems = problems;
    }

    /** Records that a field is invalid. */
    void reject(String key, String reason) {
        problems.add(new InvalidConfigurationException.Problem(fields.pathOf(key), reason));
        invalid.add(key);
    }

    /** Returns whether all these fields were valid, so that their values may be compared with each other. */
    boolean areValid(String... keys) {
        return Arrays.stream(keys).noneMatch(invalid::contains);
    }

    /** Returns a number; an absent field is a problem. */
    double number(String key, Range range) {
        return inRange(key, readOr(key, () -> fields.number(key), range.max()), range);
    }

    double numberOr(String key, double defaultValue, Range range) {
        return fields.has(key) ? number(key, range) : defaultValue;
    }

    /** Returns an integer; an absent field is a problem. The range must lie within that of an int. */
    int integer(String key, Range range) {
        return (int) inRange(key, readOr(key, () -> (double) fields.longInteger(key), range.max()), range);
    }

    int integerOr(String key, int defaultValue, Range range) {
        return fields.has(key) ? integer(key, range) : defaultValue;
    }

    boolean flag(String key) {
        return readOr(key, () -> fields.flag(key), false);
    }

    String textOr(String key, String defaultValue) {
        return readOr(key, () -> fields.textOr(key, defaultValue), defaultValue);
    }

    List<String> texts(String key) {
        return readOr(key, () -> fields.texts(key), List.of());
    }

    /** Returns one of these options, or the first one if the field is absent. */
    String oneOf(String key, List<String> options) {
        String option = textOr(key, options.get(0));
        if (!options.contains(option)) {
            reject(key, "has an unknown value " + option + ", it must be one of " + String.join(", ", options));
        }
        return option;
    }

    /** Returns the value of the option that the field holds; case is ignored. An absent field is a problem. */
    <T> T choice(String key, Map<String, T> options) {
        return readOr(key, () -> fields.choice(key, options), null);
    }

    /**
     * Returns a name and adds it to the used names, among which it must not be yet. Spaces, commas and control
     * characters are not allowed: a request must be able to carry the name on every protocol, and clients send names
     * separated by commas.
     */
    String uniqueName(String key, Set<String> usedNames) {
        String name = readOr(key, () -> fields.text(key), null);
        if (name == null) {
            return "";
        }
        if (name.isEmpty()
                || name.chars()
                        .anyMatch(character -> character <= ' ' || character == ',' || character == DELETE_CHARACTER)) {
            reject(key, "must be a name without spaces, commas and control characters, not '" + name + "'");
        } else if (!usedNames.add(name)) {
            reject(key, "is there twice: " + name);
        }
        return name;
    }

    /** Returns a nested object; an absent field is a problem. */
    RangedJsonFields object(String key) {
        JsonFields object = readOr(key, () -> fields.object(key), null);
        // An absent object is reported as one problem: the problems of its absent fields go to a list that is
        // discarded.
        return object == null
                ? new RangedJsonFields(JsonFields.parse("{}"), new ArrayList<>())
                : new RangedJsonFields(object, problems);
    }

    /** Returns a list of at least one object. */
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

    private <T> T readOr(String key, Supplier<T> read, T placeholder) {
        try {
            return read.get();
        } catch (InvalidConfigurationException e) {
            problems.addAll(e.problems());
            invalid.add(key);
            return placeholder;
        }
    }
}
