package opalcove.config;

/** A network address and a port, in the form in which settings and endpoint lists hold them. */
public record HostAndPort(String address, int port) {
    /**
     * Parses {@code ADDRESS:PORT}.
     *
     * @param key the field that holds the text, for the error message
     * @throws InvalidConfigurationException if the text does not have this form
     */
    public static HostAndPort parse(String text, String key) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        if (colon < 1 || text.contains("/") || !port.matches("\\d{1,5}") || Integer.parseInt(port) > 65_535) {
            throw new InvalidConfigurationException(key, "must be an address and a port, not " + text);
        }
        return new HostAndPort(text.substring(0, colon), Integer.parseInt(port));
    }
}
