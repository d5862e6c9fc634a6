package opalcove.core;

import java.util.Map;

/** The named parameters of a request, independent of the wire protocol. */
public final class RequestParameters {
    private final Map<String, String> values;

    /** Wraps these names and values. */
    public RequestParameters(Map<String, String> values) {
        this.values = values;
    }

    /**
     * Returns the value of a parameter.
     *
     * @throws InvalidRequestException if it is absent or empty
     */
    public String required(String name) throws InvalidRequestException {
        String value = values.get(name);
        if (value == null || value.isEmpty()) {
            throw new InvalidRequestException(name + " is missing");
        }
        return value;
    }

    /** Whether the flag of this name is set, that is, has the value 1. */
    public boolean isSet(String name) {
        return "1".equals(values.get(name));
    }

    /** Returns a parameter that is a number in plain decimal digits, optionally with a decimal point. */
    public double number(String name) throws InvalidRequestException {
        return decimal(required(name), name);
    }

    /** Returns a parameter that is an integer in plain decimal digits. */
    public int integer(String name) throws InvalidRequestException {
        double value = number(name);
        if (value != Math.rint(value)) {
            throw new InvalidRequestException(name + " is not a whole number");
        }
        return (int) value;
    }

    /**
     * Parses plain decimal numbers only. Java's own parser also accepts NaN, 1e99, 0x1p3, 2d and signs, which must be
     * rejected here.
     */
    private static double decimal(String text, String name) throws InvalidRequestException {
        int point = text.indexOf('.');
        boolean valid = text.length() <= 20
                && point != 0
                && point != text.length() - 1
                && (point < 0 ? text.length() : point) <= 9;
        for (int i = 0; valid && i < text.length(); i++) {
            valid = i == point || text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        if (!valid) {
            throw new InvalidRequestException(name + " is not a number in range");
        }
        return Double.parseDouble(text);
    }

    /**
     * Returns the text if it is an identifier of 16 hex digits.
     *
     * @throws InvalidRequestException if it is not; the message names {@code field}
     */
    public static String hexId(String text, String field) throws InvalidRequestException {
        boolean valid = text.length() == 16;
        for (int i = 0; valid && i < 16; i++) {
            valid = text.charAt(i) < 128 && Character.digit(text.charAt(i), 16) >= 0;
        }
        if (!valid) {
            throw new InvalidRequestException(field + " must be 16 hex digits");
        }
        return text;
    }
}
