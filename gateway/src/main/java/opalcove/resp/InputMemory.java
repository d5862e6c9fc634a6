package opalcove.resp;

import java.util.concurrent.TimeUnit;

/**
 * The memory of the command that is arriving on one client connection. Where it is not available, the connection is not
 * read until it is, and the rest of its input stays in the kernel. A request that waits for memory is refused shortly before its deadline. Owned by the connection's event loop.
 */
final class InputMemory {
    /** How long a request waits while the process ends. */
    private static final double MAX_WAIT_AT_END_MS = 1000;

    private final ClientConnection connection;
    private final MemoryBudget budget;
    private final MemoryReservation reservation;
    /** The request that waits for the memory of its body; null if nothing waits, or if it is no valid request. */
    private AnnouncedRequest announced;
    /** The class of a request whose body is being dropped; null if none is. */
    private String refusedClass;

    private long waitsSinceNanos;

    InputMemory(ClientConnection connection, MemoryBudget budget) {
        this.connection = connection;
        this.budget = budget;
        reservation = new MemoryReservation(budget, this::continueReserved);
    }

    private void continueReserved() {
        announced = null;
        connection.continueBlocked();
    }

    /** Whether the connection is not read because of a lack of memory. */
    boolean isWaiting() {
        return reservation.isWaiting();
    }

    /** Whether even the body of a short request, or the text that a short command repeats, has to wait for memory. */
    boolean reservesShortString(RespDecoder command) {
        int decodedItems = command.decodedItemCount();
        return (decodedItems == RequestDecoder.BODY || decodedItems == 1)
                && budget.isExhausted(MemoryBudget.Use.SHORT_REQUEST)
                && (decodedItems != 1 || CommandHandler.isPing(command));
    }

    /** Decides on the memory of a string of the command that is arriving. */
    RespListener.MemoryDecision reserve(RespDecoder command, int length) {
        MemoryBudget.Use use =
                length <= MemoryBudget.MAX_UNRESERVED_BYTES ? MemoryBudget.Use.SHORT_REQUEST : MemoryBudget.Use.REQUEST;
        if (reservation.reserve(use, length)) {
            return RespListener.MemoryDecision.RESERVED;
        }
        announced = AnnouncedRequest.decode(command, connection.input().unreadMs());
        if (announced != null && announced.isOverdue(0)) {
            refuseAnnounced();
            return RespListener.MemoryDecision.SKIP;
        }
        await(use, length);
        return RespListener.MemoryDecision.WAIT;
    }

    private void await(MemoryBudget.Use use, int length) {
        waitsSinceNanos = System.nanoTime();
        connection.server().dispatcher().readPausedForMemory();
        connection.input().pause();
        reservation.await(() -> use, length);
    }

    /** Called when a command has been executed; the request that it may have opened is counted by its body. */
    void commandExecuted() {
        reservation.release();
    }

    private void refuseAnnounced() {
        refusedClass = announced.requestClass();
        announced = null;
    }

    /**
     * Refuses the request that waits for memory if its deadline is near, or if the process is ending: its body is
     * dropped as it arrives.
     */
    void refuseIfOverdue(boolean isProcessEnding) {
        if (announced == null) {
            return;
        }
        double waitedMs = (System.nanoTime() - waitsSinceNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
        if (announced.isOverdue(waitedMs) || isProcessEnding && waitedMs > MAX_WAIT_AT_END_MS) {
            reservation.release();
            refuseAnnounced();
            connection.skipBlocked();
        }
    }

    /** Returns the class of the request whose body was dropped, and forgets it. */
    String takeRefusedClass() {
        String requestClass = refusedClass;
        refusedClass = null;
        return requestClass;
    }

    /** Ends the wait and returns what is reserved. */
    void close() {
        announced = null;
        reservation.release();
    }
}
