package opalcove.resp;

import java.util.function.Supplier;

/**
 * The memory of the command or reply that is arriving on one connection: reserved, awaited or neither. Owned by the
 * event loop of the connection.
 */
final class MemoryReservation {
    private final MemoryBudget budget;
    private final Runnable whenReserved;
    private int reservedBytes;
    /** The wait for memory; null if there is none. */
    private MemoryBudget.Waiter waiter;

    /**
     * Creates the reservation of a connection, which holds nothing.
     *
     * @param whenReserved runs when memory has been reserved after a wait
     */
    MemoryReservation(MemoryBudget budget, Runnable whenReserved) {
        this.budget = budget;
        this.whenReserved = whenReserved;
    }

    /** Reserves memory if it is available now. */
    boolean reserve(MemoryBudget.Use use, int length) {
        boolean isReserved = budget.reserve(use, length);
        if (isReserved) {
            reservedBytes = length;
        }
        return isReserved;
    }

    /** Waits for memory; the use may change during the wait. */
    void await(Supplier<MemoryBudget.Use> use, int length) {
        waiter = budget.await(use, length, () -> {
            waiter = null;
            reservedBytes = length;
            whenReserved.run();
        });
    }

    boolean isWaiting() {
        return waiter != null;
    }

    /** Ends the wait and returns what is reserved. */
    void release() {
        if (waiter != null) {
            waiter.cancel();
            waiter = null;
        }
        budget.release(reservedBytes);
        reservedBytes = 0;
    }
}
