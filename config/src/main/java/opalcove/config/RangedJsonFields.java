package opalcove.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The fields of one JSON object, each read within its range. A field that is wrong is recorded as a problem and read as
 * a stand-in, so that one pass finds all problems; what was read must not be used when there are any.
 */
final class RangedJsonFields {
    /** The control character DEL. */
    private static final char DELETE = 0x7f;

    private final JsonFields fields;
    private final List<InvalidConfigurationException.Problem> problems;
    private final Set<String> wrong = new HashSet<>();

    /** Reads these fields, and adds what is wrong to the problems. */
    RangedJsonFields(JsonFields fields, List<InvalidConfigurationException.Problem> problems) {
        this.fields = fields;
        this.problems = problems;
    }

    /** Records that a field is wrong. */
    void refuse(String key, String reason) {
        problems.add(new InvalidConfigurationException.Problem(fields.at(key), reason));
        wrong.add(key);
    }

    /** Whether nothing was wrong with these fields, so that what was read of them may be compared. */
    boolean sound(String... keys) {
        return Arrays.stream(keys).noneMatch(wrong::contains);
    }

    /** A number that must be there. */
    double number(String key, Range range) {
        return inRange(key, attempt(key, () -> fields.number(key), range.most()), range);
    }

    double numberOr(String key, double absent, Range range) {
        return fields.has(key) ? number(key, range) : absent;
    }

    /** A whole number that must be there; the range lies within that of an int. */
    int whole(String key, Range range) {
        return (int) inRange(key, attempt(key, () -> (double) fields.serial(key), range.most()), range);
    }

    int wholeOr(String key, int absent, Range range) {
        return fields.has(key) ? whole(key, range) : absent;
    }

    boolean flag(String key) {
        return attempt(key, () -> fields.flag(key), false);
    }

    String textOr(String key, String absent) {
        return attempt(key, () -> fields.textOr(key, absent), absent);
    }

    List<String> texts(String key) {
        return attempt(key, () -> fields.texts(key), List.of());
    }

    /** One of these words, or the first of them where the field is absent. */
    String oneOf(String key, List<String> words) {
        String word = textOr(key, words.get(0));
        if (!words.contains(word)) {
            refuse(key, "has an unknown value " + word + ", it must be one of " + String.join(", ", words));
        }
        return word;
    }

    /** What one of these words stands for, in any case. */
    <T> T choice(String key, Map<String, T> words) {
        return attempt(key, () -> fields.choice(key, words), null);
    }

    /**
     * A name that a request can carry on every wire, where clients write names between commas, and that none of the taken
     * ones equals. It is taken then.
     */
    String uniqueName(String key, Set<String> taken) {
        String name = attempt(key, () -> fields.text(key), null);
        if (name == null) {
            return "";
        }
        if (name.isEmpty() || name.chars().anyMatch(c -> c <= ' ' || c == ',' || c == DELETE)) {
            refuse(key, "must be a name without spaces, commas and control characters, not '" + name + "'");
        } else if (!taken.add(name)) {
            refuse(key, "is there twice: " + name);
        }
        return name;
    }

    /** An object that must be there. */
    RangedJsonFields object(String key) {
        JsonFields object = attempt(key, () -> fields.object(key), null);
        // What is not there is one problem: the fields that it lacks are none of their own.
        return object == null
                ? new RangedJsonFields(JsonFields.parse("{}"), new ArrayList<>())
                : new RangedJsonFields(object, problems);
    }

    /** A list of objects with at least one. */
    List<RangedJsonFields> objects(String key) {
        List<JsonFields> items = attempt(key, () -> fields.objects(key), null);
        if (items == null) {
            return List.of();
        }
        if (items.isEmpty()) {
            refuse(key, "must not be empty");
        }
        return items.stream().map(item -> new RangedJsonFields(item, problems)).toList();
    }

    private double inRange(String key, double value, Range range) {
        if (!range.has(value)) {
            refuse(key, range.demand());
            return range.most();
        }
        return value;
    }

    private <T> T attempt(String key, Supplier<T> read, T standIn) {
        try {
            return read.get();
        } catch (InvalidConfigurationException e) {
            problems.addAll(e.problems());
            wrong.add(key);
            return standIn;
        }
    }
}
