package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.MemoryOrders;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Leases engine memory for one prompt: all of it or none, without waiting for any, so that two
 * prompts never hold half each. Leases are short and renewed while they are used; those of an
 * instance that dies run out by themselves.
 */
public final class MemoryLeases {
    private static final Logger LOGGER = Logger.getLogger(MemoryLeases.class);

    /** Length of a lease; below the time in which unused memory has to be free again. */
    private static final Duration LEASE_DURATION = Duration.ofMillis(3_000);

    /** Two renewals may fail before a lease runs out. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(900);

    /** Time for one order; an engine answers within a round trip. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);

    private final MemoryOrders mOrders;
    private final TimeSource mTime;
    private final Duration mRenewalInterval;

    public MemoryLeases(MemoryOrders orders, TimeSource time) {
        this(orders, time, RENEWAL_INTERVAL);
    }

    MemoryLeases(MemoryOrders orders, TimeSource time, Duration renewalInterval) {
        mOrders = orders;
        mTime = time;
        mRenewalInterval = renewalInterval;
    }

    /** Memory that is held until it is closed; one task for each engine renews and gives back. */
    public final class Lease implements AutoCloseable {
        private final CountDownLatch mClosed = new CountDownLatch(1);

        private Lease(List<Reservation> reservations) {
            reservations.forEach(each -> Tasks.start("hold-memory", () -> renewUntilClosed(each)));
        }

        /** A renewal that is under way ends before the memory is given back. */
        private void renewUntilClosed(Reservation each) {
            try {
                while (!mClosed.await(mRenewalInterval.toNanos(), TimeUnit.NANOSECONDS)) {
                    sendOrder(each, true);
                }
            } catch (InterruptedException e) {
                LOGGER.debugf("memory %s is given back early: the task was interrupted", each.id());
            }
            sendOrder(each, false);
        }

        /** Gives the memory back without holding up the caller's answer. */
        @Override
        public void close() {
            mClosed.countDown();
        }
    }

    /**
     * Leases everything, or nothing.
     *
     * @param whoRefused told each engine that had no room
     * @throws RattanportException {@code TARGET_REFUSED}, not run, when some engine has no room
     */
    public Lease acquire(List<Reservation> reservations, Consumer<BackEnd> onRefusal) {
        Queue<Reservation> refused = new ConcurrentLinkedQueue<>();
        runConcurrently(
                reservations,
                each -> {
                    if (!sendOrder(each, true)) {
                        refused.add(each);
                    }
                });
        if (refused.isEmpty()) {
            return new Lease(reservations);
        }
        refused.forEach(each -> onRefusal.accept(each.engine()));
        // An order without an answer may still have been taken, so every one is released.
        release(reservations);
        throw new RattanportException(
                ErrorCode.TARGET_REFUSED,
                refused.size() + " of " + reservations.size() + " engines had no memory to lease");
    }

    private void release(List<Reservation> reservations) {
        runConcurrently(reservations, each -> sendOrder(each, false));
    }

    private boolean sendOrder(Reservation each, boolean isReserve) {
        Deadline deadline = Deadline.after(mTime, ORDER_TIMEOUT);
        try {
            return isReserve
                    ? mOrders.reserve(
                            each.engine().address(),
                            each.id(),
                            each.tokens(),
                            LEASE_DURATION,
                            deadline)
                    : mOrders.release(each.engine().address(), each.id(), deadline);
        } catch (RattanportException e) {
            LOGGER.debugf(
                    "memory order for %s at %s failed: %s",
                    each.id(), each.engine().id(), e.getMessage());
            return false;
        }
    }

    private static void runConcurrently(
            List<Reservation> reservations, Consumer<Reservation> action) {
        CountDownLatch pending = new CountDownLatch(reservations.size());
        for (Reservation each : reservations) {
            Tasks.start(
                    "memory-order",
                    () -> {
                        try {
                            action.accept(each);
                        } finally {
                            pending.countDown();
                        }
                    });
        }
        try {
            if (!pending.await(ORDER_TIMEOUT.multipliedBy(2).toMillis(), TimeUnit.MILLISECONDS)) {
                LOGGER.debug("not every memory order was answered");
            }
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }
}
