package opalcove.core;

/** A request that cannot be read; the message says why. */
public final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The class that the request names, or null where it was not read. */
    private final String requestClass;

    /** An error without a request class. */
    public InvalidRequestException(String reason) {
        this(reason, null);
    }

    /** An error of a request that names this class. */
    public InvalidRequestException(String reason, String requestClass) {
        super(reason);
        this.requestClass = requestClass;
    }

    /** The class that the request names, or null. */
    public String requestClass() {
        return requestClass;
    }
}
