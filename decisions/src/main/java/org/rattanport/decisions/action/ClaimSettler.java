package org.rattanport.decisions.action;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Writes outcomes of this instance's claims that could not be written at once, when the store
 * answers again. What is lost with the instance is marked unsettled by a survivor.
 */
public final class ClaimSettler {
    private static final Logger LOGGER = Logger.getLogger(ClaimSettler.class);
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(2);
    private static final int LARGEST_BACKLOG = 100_000;

    private record Outcome(String key, Claim claim) {}

    private final ClaimTable mClaims;
    private final TimeSource mTime;
    private final Deque<Outcome> mWaiting = new ArrayDeque<>();

    public ClaimSettler(ClaimTable claims, TimeSource time) {
        mClaims = claims;
        mTime = time;
    }

    /** Writes the outcome now, or keeps it for {@link #retry}. */
    public void settle(String key, Claim claim) {
        if (!tryWrite(new Outcome(key, claim))) {
            synchronized (this) {
                if (mWaiting.size() < LARGEST_BACKLOG) {
                    mWaiting.addLast(new Outcome(key, claim));
                    return;
                }
            }
            LOGGER.errorf("too many outcomes wait for the store; one is left to survivors");
        }
    }

    /** Keeps an outcome for {@link #retry} without trying it first. */
    public synchronized void settleLater(String key, Claim claim) {
        mWaiting.addLast(new Outcome(key, claim));
    }

    /** Writes what waits, until the store fails again. */
    public void retry() {
        while (true) {
            Outcome next;
            synchronized (this) {
                next = mWaiting.pollFirst();
            }
            if (next == null) {
                return;
            }
            if (!tryWrite(next)) {
                synchronized (this) {
                    mWaiting.addFirst(next);
                }
                return;
            }
        }
    }

    /** Outcomes that wait for the store. */
    public synchronized int backlog() {
        return mWaiting.size();
    }

    private boolean tryWrite(Outcome outcome) {
        try {
            Deadline deadline = Deadline.after(mTime, WRITE_TIMEOUT);
            if (!mClaims.settle(outcome.key(), outcome.claim(), deadline)) {
                LOGGER.warnf("a claim settled as %s is not ours", outcome.claim().state());
            }
            return true;
        } catch (RattanportException e) {
            return false;
        }
    }
}
