package opalcove.core;

/** Thrown for a request that is malformed or not valid; the message says why. */
public final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The request class named in the request, or null if it was not read. */
    private final String requestClass;

    /** Creates an exception without a request class. */
    public InvalidRequestException(String reason) {
        this(reason, null);
    }

    /** Creates an exception for a request of this class. */
    public InvalidRequestException(String reason, String requestClass) {
        super(reason);
        this.requestClass = requestClass;
    }

    /** Returns the request class named in the request, or null. */
    public String requestClass() {
        return requestClass;
    }
}
