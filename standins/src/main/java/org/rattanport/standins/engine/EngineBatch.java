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
 * Simulates the continuous batching of an engine. Each step prefills a chunk of the prompt with the
 * highest priority and generates one token for every running sequence. The batch allocates a
 * sequence's memory when it admits the sequence and frees the memory when the sequence is released,
 * by its caller or after the delivery of its output.
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

    /** Adds a sequence; it replaces a reservation with the same key and takes over its memory. */
    void add(Sequence sequence) {
        mLock.lock();
        try {
            Sequence reservation = mSequences.put(sequence.mKey, sequence);
            if (reservation != null && reservation.mHasMemory) {
                mUsedMemoryTokens += sequence.mMemoryTokens - reservation.mMemoryTokens;
                sequence.mHasMemory = true;
            }
            mWorkAvailable.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Reserves memory for a later sequence. Waits up to the limit for other sequences to free
     * memory and returns false if they do not.
     */
    boolean reserve(Sequence reservation, long limitNanos) throws InterruptedException {
        mLock.lock();
        try {
            mPendingReservations++;
            long remainingNanos = limitNanos;
            while (mUsedMemoryTokens + reservation.mMemoryTokens > mProfile.memoryTokens()) {
                if (remainingNanos <= 0 || mIsClosed) {
                    return false;
                }
                remainingNanos = mMemoryFreed.awaitNanos(remainingNanos);
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

    /** Removes the sequence or reservation of the key and frees its memory. */
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
            long nextStepNanos = System.nanoTime();
            while (!mIsClosed) {
                long now = System.nanoTime();
                if (awaitWork()) {
                    nextStepNanos = System.nanoTime();
                } else {
                    // The batch catches up with its schedule by at most 20 ms after a delay.
                    nextStepNanos = Math.max(nextStepNanos, now - 20_000_000);
                }
                nextStepNanos += runStep();
                sleepUntil(nextStepNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until a sequence is active; returns whether the batch was idle. */
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

    /**
     * Admits waiting sequences in scheduling order until one does not fit. While a reservation is
     * pending, freed memory goes to the reservation first.
     */
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

    /** Runs one step and returns its simulated duration in nanoseconds of machine time. */
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
        long remainingNanos = nanos - System.nanoTime();
        while (remainingNanos > 0 && !mIsClosed) {
            LockSupport.parkNanos(remainingNanos);
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            remainingNanos = nanos - System.nanoTime();
        }
    }

    @Override
    public void close() {
        mIsClosed = true;
        mBatchThread.interrupt();
        sequences().forEach(each -> release(each.mKey));
    }
}
