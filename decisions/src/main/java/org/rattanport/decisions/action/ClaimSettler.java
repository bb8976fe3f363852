package org.rattanport.decisions.action;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Writes the outcomes of this instance's claims and retries the writes that fail until the table
 * service is available again. If the instance ends first, the {@link ClaimSweeper} of another
 * instance marks its claims as {@code UNSETTLED}.
 */
public final class ClaimSettler {
    private static final Logger LOGGER = Logger.getLogger(ClaimSettler.class);
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_PENDING_OUTCOMES = 100_000;

    private record Outcome(String key, Claim claim) {}

    private final ClaimTable mClaims;
    private final TimeSource mTime;
    private final Deque<Outcome> mPending = new ArrayDeque<>();

    public ClaimSettler(ClaimTable claims, TimeSource time) {
        mClaims = claims;
        mTime = time;
    }

    /** Writes the outcome, or queues it for {@link #retryPending} when the write fails. */
    public void settle(String key, Claim claim) {
        if (!tryWrite(new Outcome(key, claim))) {
            synchronized (this) {
                if (mPending.size() < MAX_PENDING_OUTCOMES) {
                    mPending.addLast(new Outcome(key, claim));
                    return;
                }
            }
            LOGGER.errorf(
                    "too many outcomes wait for the table service; discarding one, whose claim"
                            + " becomes unsettled when this instance ends");
        }
    }

    /** Queues an outcome for {@link #retryPending} without a first write. */
    public synchronized void enqueue(String key, Claim claim) {
        mPending.addLast(new Outcome(key, claim));
    }

    /** Writes the queued outcomes in order and stops at the first failure. */
    public void retryPending() {
        while (true) {
            Outcome next;
            synchronized (this) {
                next = mPending.pollFirst();
            }
            if (next == null) {
                return;
            }
            if (!tryWrite(next)) {
                synchronized (this) {
                    mPending.addFirst(next);
                }
                return;
            }
        }
    }

    /** Returns the number of queued outcomes. */
    public synchronized int pendingCount() {
        return mPending.size();
    }

    private boolean tryWrite(Outcome outcome) {
        try {
            Deadline deadline = Deadline.after(mTime, WRITE_TIMEOUT);
            if (!mClaims.settle(outcome.key(), outcome.claim(), deadline)) {
                LOGGER.warnf(
                        "claim not settled as %s: its row belongs to another attempt",
                        outcome.claim().state());
            }
            return true;
        } catch (RattanportException e) {
            return false;
        }
    }
}
