package org.rattanport.decisions.lifecycle;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** Counts the requests in flight, and refuses new ones once the instance is closed to them. */
public final class InFlight {
    private final TimeSource mTime;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();
    private int mCount;
    private boolean mIsClosed;

    public InFlight(TimeSource time) {
        mTime = time;
    }

    /**
     * Enters a request; closing the result ends it.
     *
     * @throws RattanportException {@code STOPPING}, not run, when the instance takes no more
     */
    public AutoCloseable enter() {
        mLock.lock();
        try {
            if (mIsClosed) {
                throw new RattanportException(ErrorCode.STOPPING, "this instance is stopping");
            }
            mCount++;
            return this::leave;
        } finally {
            mLock.unlock();
        }
    }

    public int count() {
        mLock.lock();
        try {
            return mCount;
        } finally {
            mLock.unlock();
        }
    }

    /** Refuses new requests from now on. */
    public void close() {
        mLock.lock();
        try {
            mIsClosed = true;
        } finally {
            mLock.unlock();
        }
    }

    /** Waits until no request is in flight; false when the deadline came first. */
    public boolean awaitNone(Deadline deadline) {
        mLock.lock();
        try {
            while (mCount > 0) {
                long nanos = deadline.remaining(mTime).toNanos();
                if (nanos <= 0) {
                    return false;
                }
                mChanged.await(nanos, TimeUnit.NANOSECONDS);
            }
            return true;
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        } finally {
            mLock.unlock();
        }
    }

    private void leave() {
        mLock.lock();
        try {
            mCount--;
            mChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }
}
