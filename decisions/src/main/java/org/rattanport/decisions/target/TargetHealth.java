package org.rattanport.decisions.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.time.TimeSource;

/**
 * Ejects targets after repeated failures, for a time that doubles with each further failure. One
 * success readmits a target.
 */
public final class TargetHealth {
    private static final int FAILURES_BEFORE_EJECTION = 2;
    private static final Duration INITIAL_EJECTION = Duration.ofSeconds(1);
    private static final int MAX_EJECTION_DOUBLINGS = 5;

    private final TimeSource mTime;
    private final Map<TargetId, FailureRecord> mRecords = new HashMap<>();

    public TargetHealth(TimeSource time) {
        mTime = time;
    }

    public synchronized void recordSuccess(TargetId target) {
        mRecords.remove(target);
    }

    /** Counts a failure that the target itself caused, such as a refused connection. */
    public synchronized void recordFailure(TargetId target) {
        FailureRecord record = mRecords.computeIfAbsent(target, ignored -> new FailureRecord());
        record.mFailures++;
        int over = record.mFailures - FAILURES_BEFORE_EJECTION;
        if (over >= 0) {
            int doublings = Math.min(over, MAX_EJECTION_DOUBLINGS);
            record.mEjectedUntilNanos =
                    mTime.nanoTime() + INITIAL_EJECTION.multipliedBy(1L << doublings).toNanos();
            record.mIsEjected = true;
        }
    }

    /** Whether the target may get work; true again once its ejection has expired. */
    public synchronized boolean isUsable(TargetId target) {
        FailureRecord record = mRecords.get(target);
        return record == null
                || !record.mIsEjected
                || mTime.nanoTime() - record.mEjectedUntilNanos >= 0;
    }

    private static final class FailureRecord {
        private int mFailures;
        private boolean mIsEjected;
        private long mEjectedUntilNanos;
    }
}
