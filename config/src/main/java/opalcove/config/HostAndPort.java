package opalcove.config;

/** An address and a port, as settings and node lists write them. */
public record HostAndPort(String address, int port) {
    /** Reads {@code ADDRESS:PORT}; the key names the field that holds it. */
    public static HostAndPort read(String text, String key) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        if (colon < 1 || text.contains("/") || !port.matches("\\d{1,5}") || Integer.parseInt(port) > 65_535) {
            throw new InvalidConfigurationException(key, "must be an address and a port, not " + text);
        }
        return new HostAndPort(text.substring(0, colon), Integer.parseInt(port));
    }
}
