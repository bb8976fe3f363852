package org.rattanport.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import org.rattanport.kernel.task.Tasks;

/**
 * Continuous batching of a stand-in engine. Each step reads a chunk of one prompt, the one of the
 * highest priority, and generates one token for every running stream. Memory is taken when a
 * sequence is let in and given back when it is released or its answer was delivered.
 */
final class EngineBatch implements AutoCloseable {
    private static final Comparator<Sequence> SCHEDULING_ORDER =
            Comparator.comparingInt((Sequence each) -> -each.mPriority)
                    .thenComparingLong(each -> each.mArrival);

    private final EngineProfile mProfile;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mWorkAvailable = mLock.newCondition();
    private final Condition mMemoryFreed = mLock.newCondition();
    private final Map<String, Sequence> mSequences = new HashMap<>();
    private final Thread mBatchThread;
    private long mUsedMemoryTokens;
    private int mPendingReservations;
    private volatile boolean mIsClosed;

    EngineBatch(EngineProfile profile) {
        mProfile = profile;
        mBatchThread = Tasks.start("engine-batch", this::run);
    }

    /** Adds a sequence; one of the same key replaces a reservation and takes over its memory. */
    void add(Sequence sequence) {
        mLock.lock();
        try {
            Sequence reserved = mSequences.put(sequence.mKey, sequence);
            if (reserved != null && reserved.mHasMemory) {
                mUsedMemoryTokens += sequence.mMemoryTokens - reserved.mMemoryTokens;
                sequence.mHasMemory = true;
            }
            mWorkAvailable.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    /** Holds memory for a later sequence; waits a while for others to end. */
    boolean reserve(Sequence reservation, long limitNanos) throws InterruptedException {
        mLock.lock();
        try {
            mPendingReservations++;
            long left = limitNanos;
            while (mUsedMemoryTokens + reservation.mMemoryTokens > mProfile.memoryTokens()) {
                if (left <= 0 || mIsClosed) {
                    return false;
                }
                left = mMemoryFreed.awaitNanos(left);
            }
            reservation.mHasMemory = true;
            reservation.setState(Sequence.State.DONE);
            mUsedMemoryTokens += reservation.mMemoryTokens;
            mSequences.put(reservation.mKey, reservation);
            return true;
        } finally {
            mPendingReservations--;
            mWorkAvailable.signalAll();
            mLock.unlock();
        }
    }

    /** Gives back what the key holds. */
    void release(String key) {
        mLock.lock();
        try {
            Sequence sequence = mSequences.remove(key);
            if (sequence != null) {
                if (sequence.mHasMemory) {
                    mUsedMemoryTokens -= sequence.mMemoryTokens;
                }
                sequence.setState(Sequence.State.RELEASED);
                mMemoryFreed.signalAll();
                mWorkAvailable.signalAll();
            }
        } finally {
            mLock.unlock();
        }
    }

    Optional<Sequence> find(String key) {
        mLock.lock();
        try {
            return Optional.ofNullable(mSequences.get(key));
        } finally {
            mLock.unlock();
        }
    }

    List<Sequence> sequences() {
        mLock.lock();
        try {
            return new ArrayList<>(mSequences.values());
        } finally {
            mLock.unlock();
        }
    }

    long usedMemoryTokens() {
        mLock.lock();
        try {
            return mUsedMemoryTokens;
        } finally {
            mLock.unlock();
        }
    }

    private void run() {
        try {
            long next = System.nanoTime();
            while (!mIsClosed) {
                long now = System.nanoTime();
                if (awaitWork()) {
                    next = System.nanoTime();
                } else {
                    next = Math.max(next, now - 20_000_000);
                }
                next += runStep();
                sleepUntil(next);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether it had to wait. */
    private boolean awaitWork() throws InterruptedException {
        mLock.lock();
        try {
            boolean hasWaited = false;
            admitWaiting();
            while (mSequences.values().stream().noneMatch(EngineBatch::isActive)) {
                hasWaited = true;
                mWorkAvailable.await();
                admitWaiting();
            }
            return hasWaited;
        } finally {
            mLock.unlock();
        }
    }

    private static boolean isActive(Sequence sequence) {
        Sequence.State state = sequence.state();
        return state == Sequence.State.PREFILL || state == Sequence.State.RUNNING;
    }

    /** Lets waiting sequences in, in order, as long as they fit; reservations go before them. */
    private void admitWaiting() {
        List<Sequence> waiting =
                mSequences.values().stream()
                        .filter(each -> each.state() == Sequence.State.WAITING)
                        .sorted(SCHEDULING_ORDER)
                        .toList();
        for (Sequence sequence : waiting) {
            if (!sequence.mHasMemory) {
                boolean fits =
                        mUsedMemoryTokens + sequence.mMemoryTokens <= mProfile.memoryTokens();
                if (!fits || mPendingReservations > 0) {
                    return;
                }
                sequence.mHasMemory = true;
                mUsedMemoryTokens += sequence.mMemoryTokens;
            }
            sequence.setState(Sequence.State.PREFILL);
        }
    }

    /** Makes one step and returns its duration. */
    private long runStep() {
        mLock.lock();
        try {
            Optional<Sequence> prefill =
                    mSequences.values().stream()
                            .filter(each -> each.state() == Sequence.State.PREFILL)
                            .min(SCHEDULING_ORDER);
            double tokens =
                    prefill.map(
                                    each ->
                                            Math.min(
                                                    each.mRemainingPrefillTokens,
                                                    mProfile.prefillChunkTokens()))
                            .orElse(0.0);
            List<Sequence> running =
                    mSequences.values().stream()
                            .filter(each -> each.state() == Sequence.State.RUNNING)
                            .toList();
            running.forEach(Sequence::generateToken);
            prefill.ifPresent(each -> advancePrefill(each, tokens));
            return mProfile.stepNanos(tokens, running.size());
        } finally {
            mLock.unlock();
        }
    }

    private static void advancePrefill(Sequence sequence, double tokens) {
        sequence.mRemainingPrefillTokens -= tokens;
        if (sequence.mRemainingPrefillTokens <= 0) {
            boolean hasOutput = sequence.mOutputTokens > sequence.mFirstPosition;
            sequence.setState(hasOutput ? Sequence.State.RUNNING : Sequence.State.DONE);
        }
    }

    private void sleepUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        while (left > 0 && !mIsClosed) {
            LockSupport.parkNanos(left);
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            left = nanos - System.nanoTime();
        }
    }

    @Override
    public void close() {
        mIsClosed = true;
        mBatchThread.interrupt();
        sequences().forEach(each -> release(each.mKey));
    }
}
