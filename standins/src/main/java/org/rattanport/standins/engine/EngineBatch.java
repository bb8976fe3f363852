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
    private static final Comparator<Sequence> ORDER =
            Comparator.comparingInt((Sequence each) -> -each.mPriority)
                    .thenComparingLong(each -> each.mArrival);

    private final EngineProfile mProfile;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mWork = mLock.newCondition();
    private final Condition mMemoryFreed = mLock.newCondition();
    private final Map<String, Sequence> mSequences = new HashMap<>();
    private final Thread mTask;
    private long mUsedMemory;
    private int mPendingReservations;
    private volatile boolean mIsClosed;

    EngineBatch(EngineProfile profile) {
        mProfile = profile;
        mTask = Tasks.start("engine-batch", this::run);
    }

    /** Adds a sequence; one of the same key replaces a reservation and takes over its memory. */
    void add(Sequence sequence) {
        mLock.lock();
        try {
            Sequence reserved = mSequences.put(sequence.mKey, sequence);
            if (reserved != null && reserved.mHasMemory) {
                mUsedMemory += sequence.mMemoryTokens - reserved.mMemoryTokens;
                sequence.mHasMemory = true;
            }
            mWork.signalAll();
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
            while (mUsedMemory + reservation.mMemoryTokens > mProfile.memoryTokens()) {
                if (left <= 0 || mIsClosed) {
                    return false;
                }
                left = mMemoryFreed.awaitNanos(left);
            }
            reservation.mHasMemory = true;
            reservation.setState(Sequence.State.DONE);
            mUsedMemory += reservation.mMemoryTokens;
            mSequences.put(reservation.mKey, reservation);
            return true;
        } finally {
            mPendingReservations--;
            mWork.signalAll();
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
                    mUsedMemory -= sequence.mMemoryTokens;
                }
                sequence.setState(Sequence.State.RELEASED);
                mMemoryFreed.signalAll();
                mWork.signalAll();
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

    List<Sequence> all() {
        mLock.lock();
        try {
            return new ArrayList<>(mSequences.values());
        } finally {
            mLock.unlock();
        }
    }

    long usedMemory() {
        mLock.lock();
        try {
            return mUsedMemory;
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
                next += step();
                pauseUntil(next);
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
            letIn();
            while (mSequences.values().stream().noneMatch(EngineBatch::isActive)) {
                hasWaited = true;
                mWork.await();
                letIn();
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
    private void letIn() {
        List<Sequence> waiting =
                mSequences.values().stream()
                        .filter(each -> each.state() == Sequence.State.WAITING)
                        .sorted(ORDER)
                        .toList();
        for (Sequence sequence : waiting) {
            if (!sequence.mHasMemory) {
                boolean fits = mUsedMemory + sequence.mMemoryTokens <= mProfile.memoryTokens();
                if (!fits || mPendingReservations > 0) {
                    return;
                }
                sequence.mHasMemory = true;
                mUsedMemory += sequence.mMemoryTokens;
            }
            sequence.setState(Sequence.State.PREFILL);
        }
    }

    /** Makes one step and returns its duration. */
    private long step() {
        mLock.lock();
        try {
            Optional<Sequence> prefill =
                    mSequences.values().stream()
                            .filter(each -> each.state() == Sequence.State.PREFILL)
                            .min(ORDER);
            double tokens =
                    prefill.map(each -> Math.min(each.mPrefillLeft, mProfile.prefillChunkTokens()))
                            .orElse(0.0);
            List<Sequence> running =
                    mSequences.values().stream()
                            .filter(each -> each.state() == Sequence.State.RUNNING)
                            .toList();
            running.forEach(Sequence::generate);
            prefill.ifPresent(each -> advance(each, tokens));
            return mProfile.stepNanos(tokens, running.size());
        } finally {
            mLock.unlock();
        }
    }

    private static void advance(Sequence sequence, double tokens) {
        sequence.mPrefillLeft -= tokens;
        if (sequence.mPrefillLeft <= 0) {
            boolean hasOutput = sequence.mOutputTokens > sequence.mFirstPosition;
            sequence.setState(hasOutput ? Sequence.State.RUNNING : Sequence.State.DONE);
        }
    }

    private void pauseUntil(long nanos) throws InterruptedException {
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
        mTask.interrupt();
        all().forEach(each -> release(each.mKey));
    }
}
