package org.rattanport.decisions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.platform.Row;
import org.rattanport.kernel.platform.RowWrite;
import org.rattanport.kernel.platform.TableService;
import org.rattanport.kernel.platform.TransactionResult;
import org.rattanport.kernel.time.Deadline;

/** An in-memory table service with scripted and random faults. */
public final class FakeTable implements TableService {
    private static final int MAX_DELAY_CALLS = 6;

    private record LateWrite(long dueCall, List<RowWrite> writes) {}

    private final NavigableMap<String, Row> mRows = new TreeMap<>();
    private final Deque<StoreFault> mScript = new ArrayDeque<>();
    private final List<LateWrite> mLateWrites = new ArrayList<>();
    private final Random mRandom;
    private StoreFault mRandomFault = StoreFault.NONE;
    private double mRandomFaultRate;
    private Runnable mOnLostResponse = () -> {};
    private boolean mIsDown;
    private long mRevision;
    private long mCalls;

    public FakeTable(long seed) {
        mRandom = new Random(seed);
    }

    /** Sets the faults of the next writes, in order. */
    public synchronized FakeTable injectFaults(StoreFault... faults) {
        mScript.addAll(List.of(faults));
        return this;
    }

    /** Sets an action to run when a response is lost, before the writer gets the error. */
    public synchronized void onLostResponse(Runnable action) {
        mOnLostResponse = action;
    }

    /** Sets a fault that hits a random share of the writes without a scripted fault. */
    public synchronized void injectRandomFaults(StoreFault fault, double rate) {
        mRandomFault = fault;
        mRandomFaultRate = rate;
    }

    public synchronized void setDown(boolean isDown) {
        mIsDown = isDown;
    }

    /** Applies all pending late writes. */
    public synchronized void applyLateWrites() {
        mLateWrites.forEach(each -> apply(each.writes()));
        mLateWrites.clear();
    }

    @Override
    public synchronized Optional<Row> get(String key, Deadline deadline) {
        applyDueWrites();
        requireUp();
        return Optional.ofNullable(mRows.get(key));
    }

    @Override
    public synchronized TransactionResult commit(List<RowWrite> writes, Deadline deadline) {
        applyDueWrites();
        requireUp();
        StoreFault fault = nextFault();
        switch (fault) {
            case NOT_SENT -> throw unavailable(Verdict.NOT_RUN);
            case LOST_REQUEST -> throw unavailable(Verdict.MAY_HAVE_RUN);
            case LOST_ANSWER -> {
                apply(writes);
                mOnLostResponse.run();
                throw unavailable(Verdict.MAY_HAVE_RUN);
            }
            case LATE_WRITE -> {
                mLateWrites.add(
                        new LateWrite(mCalls + 1 + mRandom.nextInt(MAX_DELAY_CALLS), writes));
                throw unavailable(Verdict.MAY_HAVE_RUN);
            }
            case NONE -> {
                List<String> conflicts = apply(writes);
                return conflicts.isEmpty()
                        ? new TransactionResult.Committed(
                                writes.stream().map(each -> revision(each.key())).toList())
                        : new TransactionResult.Conflict(conflicts);
            }
        }
        throw new IllegalStateException("unknown fault " + fault);
    }

    @Override
    public synchronized List<Row> scan(
            String prefix, String afterKey, int limit, Deadline deadline) {
        applyDueWrites();
        requireUp();
        return mRows
                .tailMap(afterKey.isEmpty() ? prefix : afterKey, afterKey.isEmpty())
                .values()
                .stream()
                .takeWhile(row -> row.key().startsWith(prefix))
                .limit(limit)
                .toList();
    }

    private void applyDueWrites() {
        mCalls++;
        List<LateWrite> due =
                mLateWrites.stream().filter(each -> each.dueCall() <= mCalls).toList();
        mLateWrites.removeAll(due);
        due.forEach(each -> apply(each.writes()));
    }

    private void requireUp() {
        if (mIsDown) {
            throw unavailable(Verdict.MAY_HAVE_RUN);
        }
    }

    private StoreFault nextFault() {
        if (!mScript.isEmpty()) {
            return mScript.removeFirst();
        }
        return mRandom.nextDouble() < mRandomFaultRate ? mRandomFault : StoreFault.NONE;
    }

    private List<String> apply(List<RowWrite> writes) {
        List<String> conflicts =
                writes.stream()
                        .filter(each -> revision(each.key()) != each.expectedRevision())
                        .map(RowWrite::key)
                        .toList();
        if (conflicts.isEmpty()) {
            writes.forEach(this::applyOne);
        }
        return conflicts;
    }

    private void applyOne(RowWrite write) {
        if (write.value().isPresent()) {
            mRevision++;
            mRows.put(write.key(), new Row(write.key(), mRevision, write.value().get()));
        } else {
            mRows.remove(write.key());
        }
    }

    private long revision(String key) {
        Row row = mRows.get(key);
        return row == null ? RowWrite.ABSENT : row.revision();
    }

    private static RattanportException unavailable(Verdict verdict) {
        return RattanportException.builder(ErrorCode.STORE_UNAVAILABLE, "scripted fault")
                .verdict(verdict)
                .build();
    }
}
