package opalcove.config;

/** An address and a port, as settings and endpoint lists write them. */
public record HostAndPort(String address, int port) {
    /**
     * Reads {@code ADDRESS:PORT}; the key names the field that holds it.
     *
     * @throws InvalidConfigurationException if the text is of another form
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
