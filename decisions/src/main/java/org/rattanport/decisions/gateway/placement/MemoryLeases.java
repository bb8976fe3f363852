package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rattanport.decisions.gateway.discovery.RequestGate;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineMemoryClient;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Leases engine memory for one prompt: all of it or none. A request never waits for memory, so two
 * prompts cannot deadlock with half of their memory each. Leases are short and renewed while the
 * decode engine is known to live; those of a crashed instance expire.
 */
public final class MemoryLeases {
    private static final Logger LOGGER = Logger.getLogger(MemoryLeases.class);

    /** Duration of a lease; below the time within which unused memory must be free again. */
    private static final Duration LEASE_DURATION = Duration.ofMillis(3_000);

    /** Interval between renewals; two of them may fail before a lease expires. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(900);

    /** Timeout of one order; an engine responds within a round trip. */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);

    /**
     * Silence of the decode engine after which it must prove that it lives before a renewal. Unused
     * memory must be free again within four seconds.
     */
    private static final Duration MAX_SILENCE = Duration.ofMillis(1_000);

    /** Timeout of one check whether the decode engine lives. */
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(400);

    /** Failed checks in a row after which the decode engine counts as dead; one may be lost. */
    private static final int MAX_FAILED_CHECKS = 2;

    private final EngineMemoryClient mClient;
    private final RequestGate mGate;
    private final TimeSource mTime;
    private final Duration mRenewalInterval;

    /**
     * Creates a client of the engines' memory.
     *
     * @param gate what keeps new leases and checks, though not renewals, away from engines
     */
    public MemoryLeases(EngineMemoryClient client, RequestGate gate, TimeSource time) {
        this(client, gate, time, RENEWAL_INTERVAL);
    }

    MemoryLeases(
            EngineMemoryClient client,
            RequestGate gate,
            TimeSource time,
            Duration renewalInterval) {
        mClient = client;
        mGate = gate;
        mTime = time;
        mRenewalInterval = renewalInterval;
    }

    /** Leased memory, held until closed. One task per engine renews the lease and releases it. */
    public final class Lease implements AutoCloseable {
        private final CountDownLatch mClosed = new CountDownLatch(1);
        private final BackEnd mDecodeEngine;
        private volatile long mLastSignNanos;

        private Lease(List<Reservation> reservations, BackEnd decodeEngine) {
            mDecodeEngine = decodeEngine;
            recordSignOfLife();
            reservations.forEach(each -> Tasks.start("hold-memory", () -> renewUntilClosed(each)));
        }

        /**
         * Renews and releases in one task, so a renewal in progress ends before the release is
         * sent.
         */
        private void renewUntilClosed(Reservation reservation) {
            try {
                while (!mClosed.await(mRenewalInterval.toNanos(), TimeUnit.NANOSECONDS)
                        && isDecodeEngineAlive()) {
                    sendOrder(reservation, true);
                }
            } catch (InterruptedException e) {
                LOGGER.debugf(
                        "releasing memory lease %s early: its task was interrupted",
                        reservation.id());
            }
            sendOrder(reservation, false);
        }

        /** Records that the decode engine has sent something. */
        public void recordSignOfLife() {
            mLastSignNanos = mTime.nanoTime();
        }

        /** One check serves the tasks of all engines until the engine is silent again. */
        private synchronized boolean isDecodeEngineAlive() {
            if (mTime.nanoTime() - mLastSignNanos < MAX_SILENCE.toNanos()) {
                return true;
            }
            if (!mGate.accepts(mDecodeEngine)) {
                // Work in progress keeps its memory; the end of the request releases it.
                return true;
            }
            for (int i = 0; i < MAX_FAILED_CHECKS && mClosed.getCount() > 0; i++) {
                if (isReachable(mDecodeEngine)) {
                    recordSignOfLife();
                    return true;
                }
            }
            LOGGER.info(
                    LogLine.of("memory-given-up")
                            .with("back_end", mDecodeEngine.id())
                            .with("silent_millis", silence().toMillis())
                            .with("reason", "the decode engine does not respond"));
            close();
            return false;
        }

        Duration silence() {
            return Duration.ofNanos(mTime.nanoTime() - mLastSignNanos);
        }

        /** Starts the release without delaying the caller's response. */
        @Override
        public void close() {
            mClosed.countDown();
        }
    }

    /**
     * Leases the memory of all reservations, or none.
     *
     * @param decodeEngine engine whose work needs the memory
     * @param onRefusal receives each engine that did not grant its lease
     * @throws RattanportException {@code TARGET_REFUSED} with the verdict {@code NOT_RUN} when an
     *     engine did not grant its lease or may not be asked
     */
    public Lease acquire(
            List<Reservation> reservations, BackEnd decodeEngine, Consumer<BackEnd> onRefusal) {
        Queue<Reservation> refused = new ConcurrentLinkedQueue<>();
        Queue<Reservation> ordered = new ConcurrentLinkedQueue<>();
        runConcurrently(
                reservations,
                each -> {
                    if (!mGate.accepts(each.engine())) {
                        refused.add(each);
                        return;
                    }
                    ordered.add(each);
                    if (!sendOrder(each, true)) {
                        refused.add(each);
                    }
                });
        if (refused.isEmpty()) {
            return new Lease(reservations, decodeEngine);
        }
        refused.forEach(each -> onRefusal.accept(each.engine()));
        // An engine may have granted an order whose response was lost, so all orders are undone.
        release(ordered);
        throw new RattanportException(
                ErrorCode.TARGET_REFUSED,
                refused.size()
                        + " of "
                        + reservations.size()
                        + " engines did not grant a memory lease");
    }

    private boolean isReachable(BackEnd engine) {
        try {
            return mClient.isReachable(engine.address(), Deadline.after(mTime, CHECK_TIMEOUT));
        } catch (RattanportException e) {
            LOGGER.debugf("engine %s does not respond: %s", engine.id(), e.getMessage());
            return false;
        }
    }

    private void release(Collection<Reservation> reservations) {
        runConcurrently(reservations, each -> sendOrder(each, false));
    }

    private boolean sendOrder(Reservation reservation, boolean isAcquire) {
        Deadline deadline = Deadline.after(mTime, ORDER_TIMEOUT);
        try {
            return isAcquire
                    ? mClient.acquire(
                            reservation.engine().address(),
                            reservation.id(),
                            reservation.tokens(),
                            LEASE_DURATION,
                            deadline)
                    : mClient.release(reservation.engine().address(), reservation.id(), deadline);
        } catch (RattanportException e) {
            LOGGER.debugf(
                    "memory order for lease %s at engine %s failed: %s",
                    reservation.id(), reservation.engine().id(), e.getMessage());
            return false;
        }
    }

    private static void runConcurrently(
            Collection<Reservation> reservations, Consumer<Reservation> action) {
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
                LOGGER.debug("some memory orders had no response within their timeout");
            }
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }
}
