package opalcove.gateway;

/** Settings or input of the wrong form; the message names the key and the reason. */
public final class BadSettings extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public BadSettings(String message) {
        super(message);
    }
}
