package org.rattanport.decisions.lifecycle;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Counts the requests in flight from their first byte to the last byte of their response, refuses
 * new ones once the instance stops accepting them, and cuts those that are left at the end of a
 * drain.
 */
public final class InFlightRequests {
    private final TimeSource mTime;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mCountChanged = mLock.newCondition();
    private final Set<Entry> mEntries = new LinkedHashSet<>();
    private long mTotalCount;
    private boolean mIsClosed;
    private boolean mIsCut;

    public InFlightRequests(TimeSource time) {
        mTime = time;
    }

    /** A request in flight; closing it ends it. */
    public final class Entry implements AutoCloseable {
        private final Runnable mOnCut;

        private Entry(Runnable onCut) {
            mOnCut = onCut;
        }

        /**
         * Accepts the request, which was read as a whole.
         *
         * @throws RattanportException {@code STOPPING} with verdict {@code NOT_RUN} when the
         *     instance no longer accepts requests
         */
        public void accept() {
            mLock.lock();
            try {
                if (mIsClosed) {
                    throw new RattanportException(ErrorCode.STOPPING, "this instance is stopping");
                }
            } finally {
                mLock.unlock();
            }
        }

        @Override
        public void close() {
            end(this);
        }
    }

    /**
     * Registers a request that ends by itself when the connection of its caller is closed.
     *
     * @throws RattanportException {@code STOPPING} with verdict {@code NOT_RUN} when the instance
     *     no longer accepts requests
     */
    public Entry begin() {
        return begin(() -> {});
    }

    /**
     * Registers a request that was read as a whole.
     *
     * @param onCut makes the task of the request end it, without waiting for that
     * @throws RattanportException {@code STOPPING} with verdict {@code NOT_RUN} when the instance
     *     no longer accepts requests
     */
    public Entry begin(Runnable onCut) {
        Entry entry = enter(onCut);
        try {
            entry.accept();
        } catch (RattanportException e) {
            entry.close();
            throw e;
        }
        return entry;
    }

    /**
     * Registers a request whose head was read. It counts until it is closed, also if it is refused,
     * because a refusal too has to reach its caller before the instance ends.
     *
     * @param onCut makes the task of the request end it, without waiting for that
     */
    public Entry enter(Runnable onCut) {
        Entry entry = new Entry(onCut);
        boolean isCut;
        mLock.lock();
        try {
            mEntries.add(entry);
            mTotalCount++;
            isCut = mIsCut;
        } finally {
            mLock.unlock();
        }
        if (isCut) {
            onCut.run();
        }
        return entry;
    }

    public int count() {
        mLock.lock();
        try {
            return mEntries.size();
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the number of requests that have been in flight so far, or are. */
    public long totalCount() {
        mLock.lock();
        try {
            return mTotalCount;
        } finally {
            mLock.unlock();
        }
    }

    /** Refuses new requests from now on. */
    public void refuseNew() {
        mLock.lock();
        try {
            mIsClosed = true;
        } finally {
            mLock.unlock();
        }
    }

    /** Waits until no request is in flight; returns false when the deadline passes first. */
    public boolean awaitEmpty(Deadline deadline) {
        mLock.lock();
        try {
            long nanos = deadline.remaining(mTime).toNanos();
            while (!mEntries.isEmpty()) {
                if (nanos <= 0) {
                    return false;
                }
                nanos = mCountChanged.awaitNanos(nanos);
            }
            return true;
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        } finally {
            mLock.unlock();
        }
    }

    /** Cuts the requests in flight and all later ones; their tasks end them without a wait. */
    public void cutAll() {
        List<Entry> entries;
        mLock.lock();
        try {
            mIsCut = true;
            entries = List.copyOf(mEntries);
        } finally {
            mLock.unlock();
        }
        entries.forEach(entry -> entry.mOnCut.run());
    }

    private void end(Entry entry) {
        mLock.lock();
        try {
            mEntries.remove(entry);
            mCountChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }
}
