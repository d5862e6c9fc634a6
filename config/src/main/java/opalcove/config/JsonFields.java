package opalcove.config;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The fields of one JSON object, read by name and type. An invalid field is reported with the path of its key.
 * Immutable.
 */
public final class JsonFields {
    private final JsonObject object;
    private final String path;

    private JsonFields(JsonObject object, String path) {
        this.object = object;
        this.path = path;
    }

    /**
     * Parses a text that must hold one JSON object.
     *
     * @throws InvalidConfigurationException if the text is not valid JSON or holds no object
     */
    public static JsonFields parse(String text) {
        try {
            return of(Json.parse(text), "");
        } catch (ParseException e) {
            throw new InvalidConfigurationException("malformed JSON: " + e.getMessage());
        }
    }

    private static JsonFields of(JsonValue value, String path) {
        if (!value.isObject()) {
            throw path.isEmpty()
                    ? new InvalidConfigurationException("the message must be an object")
                    : new InvalidConfigurationException(path, "must be an object");
        }
        return new JsonFields(value.asObject(), path);
    }

    /** Returns the path of a field of this object, for messages. */
    String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private InvalidConfigurationException invalid(String name, String reason) {
        return new InvalidConfigurationException(pathOf(name), reason);
    }

    /** Returns whether the field is present and not null. */
    public boolean has(String name) {
        JsonValue value = object.get(name);
        return value != null && !value.isNull();
    }

    /** Returns the names of all fields that are present. */
    public List<String> names() {
        return object.names();
    }

    /** Returns the path of this object, for messages; empty for the top-level object. */
    public String path() {
        return path;
    }

    private JsonValue required(String name) {
        if (!has(name)) {
            throw invalid(name, "is missing");
        }
        return object.get(name);
    }

    /**
     * Returns a string.
     *
     * @throws InvalidConfigurationException if the field is absent or not a string
     */
    public String text(String name) {
        JsonValue value = required(name);
        if (!value.isString()) {
            throw invalid(name, "must be a text");
        }
        return value.asString();
    }

    /** Returns a string, or the default if the field is absent. */
    public String textOr(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    /**
     * Returns a number.
     *
     * @throws InvalidConfigurationException if the field is absent or not a number
     */
    public double number(String name) {
        JsonValue value = required(name);
        if (!value.isNumber()) {
            throw invalid(name, "must be a number");
        }
        return value.asDouble();
    }

    /** Returns a number, or the default if the field is absent. */
    public double numberOr(String name, double defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    /**
     * Returns an integer, truncated to 32 bits.
     *
     * @throws InvalidConfigurationException if the field is absent or not an integer
     */
    public int integer(String name) {
        return (int) longInteger(name);
    }

    /** Returns an integer, or the default if the field is absent. */
    public int integerOr(String name, int defaultValue) {
        return has(name) ? integer(name) : defaultValue;
    }

    /**
     * Returns an integer of up to 63 bits.
     *
     * @throws InvalidConfigurationException if the field is absent or not an integer
     */
    public long longInteger(String name) {
        JsonValue value = required(name);
        try {
            return value.asLong();
        } catch (NumberFormatException | UnsupportedOperationException e) {
            double number = number(name);
            if (number != Math.rint(number)) {
                throw invalid(name, "must be a whole number");
            }
            return (long) number;
        }
    }

    /**
     * Returns a boolean, or false if the field is absent.
     *
     * @throws InvalidConfigurationException if the field is not a boolean
     */
    public boolean flag(String name) {
        if (!has(name)) {
            return false;
        }
        if (!object.get(name).isBoolean()) {
            throw invalid(name, "must be true or false");
        }
        return object.get(name).asBoolean();
    }

    /**
     * Returns an enum constant whose name the field holds; case is ignored.
     *
     * @throws InvalidConfigurationException if the field is absent or the enum has no such constant
     */
    public <E extends Enum<E>> E choice(String name, Class<E> type) {
        try {
            return Enum.valueOf(type, text(name).toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw invalid(name, "has an unknown value " + text(name));
        }
    }

    /**
     * Returns the value of the option that the field holds; case is ignored.
     *
     * @throws InvalidConfigurationException if the field is absent or holds none of the options
     */
    <T> T choice(String name, Map<String, T> options) {
        String upperCase = text(name).toUpperCase(Locale.ROOT);
        for (Map.Entry<String, T> option : options.entrySet()) {
            if (option.getKey().toUpperCase(Locale.ROOT).equals(upperCase)) {
                return option.getValue();
            }
        }
        throw invalid(name, "has an unknown value " + text(name));
    }

    /**
     * Returns a nested object.
     *
     * @throws InvalidConfigurationException if the field is absent or not an object
     */
    public JsonFields object(String name) {
        return of(required(name), pathOf(name));
    }

    /**
     * Returns a list of objects.
     *
     * @throws InvalidConfigurationException if the field is absent, not a list, or an item is not an object
     */
    public List<JsonFields> objects(String name) {
        List<JsonFields> items = new ArrayList<>();
        for (JsonValue item : array(name)) {
            items.add(of(item, pathOf(name) + "[" + items.size() + "]"));
        }
        return items;
    }

    /** Returns a list of strings, which is empty if the field is absent. */
    public List<String> texts(String name) {
        List<String> items = new ArrayList<>();
        if (has(name)) {
            for (JsonValue item : array(name)) {
                if (!item.isString()) {
                    throw invalid(name, "must hold texts");
                }
                items.add(item.asString());
            }
        }
        return items;
    }

    /** Returns a list of numbers, or null if the field is absent. */
    public double[] numbers(String name) {
        if (!has(name)) {
            return null;
        }
        JsonArray items = array(name);
        double[] numbers = new double[items.size()];
        for (int i = 0; i < numbers.length; i++) {
            if (!items.get(i).isNumber()) {
                throw invalid(name, "must hold numbers");
            }
            numbers[i] = items.get(i).asDouble();
        }
        return numbers;
    }

    private JsonArray array(String name) {
        JsonValue value = required(name);
        if (!value.isArray()) {
            throw invalid(name, "must be a list");
        }
        return value.asArray();
    }
}
