package org.rattanport.decisions.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetLoad;

/**
 * Load estimate for one engine: the latest load report, which lags, plus the attempts that this
 * instance has sent since. The backlog is at least the prompt tokens of this instance's attempts
 * that still wait for a first token.
 */
public final class EngineLoad {
    /** A report is assumed to include the attempts that were sent at least this long before it. */
    private static final long REPORT_LAG_NANOS = 300_000_000;

    private final TargetId mTarget;
    private final Map<String, Attempt> mAttempts = new HashMap<>();
    private final Deque<Attempt> mUnreported = new ArrayDeque<>();
    private TargetLoad mReport;
    private long mReportNanos;
    private long mOwnWaitingTokens;
    private long mUnreportedPromptTokens;
    private long mUnreportedMemoryTokens;
    private long mLastUsedNanos;
    private double mBorrowingDebtTokens;
    private long mLastRefillNanos;

    public EngineLoad(TargetLoad report, long nowNanos) {
        mTarget = report.target();
        mReport = report;
        mReportNanos = nowNanos;
        mLastRefillNanos = nowNanos;
        mLastUsedNanos = nowNanos;
    }

    public TargetId target() {
        return mTarget;
    }

    public synchronized TargetLoad report() {
        return mReport;
    }

    /** Applies a load report; ignores a report that is older than the latest one. */
    public synchronized void update(TargetLoad report, long nowNanos) {
        if (report.sequenceNumber() >= mReport.sequenceNumber()) {
            mReport = report;
            mReportNanos = nowNanos;
            dropReportedAttempts();
        }
    }

    /** Adds an attempt that is about to be sent. */
    public synchronized void addAttempt(
            String key, long promptTokens, long memoryTokens, long nowNanos) {
        Attempt attempt = new Attempt(promptTokens, memoryTokens, nowNanos);
        mAttempts.put(key, attempt);
        mLastUsedNanos = nowNanos;
        mUnreported.addLast(attempt);
        mOwnWaitingTokens += promptTokens;
        mUnreportedPromptTokens += promptTokens;
        mUnreportedMemoryTokens += memoryTokens;
    }

    /** Records the first token of an attempt: its prompt has been prefilled. */
    public synchronized void recordFirstToken(String key) {
        Attempt attempt = mAttempts.get(key);
        if (attempt != null && attempt.mAwaitsFirstToken) {
            attempt.mAwaitsFirstToken = false;
            mOwnWaitingTokens -= attempt.mPromptTokens;
        }
    }

    /** Removes an attempt that has ended; does nothing when it was already removed. */
    public synchronized void removeAttempt(String key) {
        recordFirstToken(key);
        Attempt attempt = mAttempts.remove(key);
        if (attempt != null && mUnreported.remove(attempt)) {
            mUnreportedPromptTokens -= attempt.mPromptTokens;
            mUnreportedMemoryTokens -= attempt.mMemoryTokens;
        }
    }

    /** Prompt tokens that the engine prefills before a new request. */
    public synchronized long backlogTokens() {
        return Math.max(mReport.waitingPromptTokens() + mUnreportedPromptTokens, mOwnWaitingTokens);
    }

    /** Free engine memory, less the memory of attempts that no report includes yet. */
    public synchronized long freeMemoryTokens() {
        return mReport.totalMemoryTokens() - mReport.usedMemoryTokens() - mUnreportedMemoryTokens;
    }

    /** Time since the latest report was received. */
    public synchronized Duration reportAge(long nowNanos) {
        return Duration.ofNanos(Math.max(0, nowNanos - mReportNanos));
    }

    /** Time since this instance last sent an attempt; zero while an attempt is in flight. */
    public synchronized Duration idleTime(long nowNanos) {
        return mAttempts.isEmpty()
                ? Duration.ofNanos(Math.max(0, nowNanos - mLastUsedNanos))
                : Duration.ZERO;
    }

    /** Number of this instance's attempts in flight. */
    public synchronized int outstanding() {
        return mAttempts.size();
    }

    /**
     * Whether the budget for prompts of other length classes has tokens left.
     *
     * @param tokensPerSecond refill rate of the budget; its capacity is one second of this rate
     */
    public synchronized boolean hasBorrowingBudget(double tokensPerSecond, long nowNanos) {
        refillBorrowingBudget(tokensPerSecond, nowNanos);
        return mBorrowingDebtTokens <= 0;
    }

    /**
     * Charges a borrowing prompt to the budget; a long prompt leaves a debt to be refilled first.
     */
    public synchronized void chargeBorrowing(long promptTokens) {
        mBorrowingDebtTokens += promptTokens;
    }

    private void refillBorrowingBudget(double tokensPerSecond, long nowNanos) {
        double refill = tokensPerSecond * (nowNanos - mLastRefillNanos) / 1e9;
        mBorrowingDebtTokens = Math.max(-tokensPerSecond, mBorrowingDebtTokens - refill);
        mLastRefillNanos = nowNanos;
    }

    private void dropReportedAttempts() {
        while (!mUnreported.isEmpty()
                && mReportNanos - mUnreported.peekFirst().mSentNanos > REPORT_LAG_NANOS) {
            Attempt attempt = mUnreported.removeFirst();
            mUnreportedPromptTokens -= attempt.mPromptTokens;
            mUnreportedMemoryTokens -= attempt.mMemoryTokens;
        }
    }

    private static final class Attempt {
        private final long mPromptTokens;
        private final long mMemoryTokens;
        private final long mSentNanos;
        private boolean mAwaitsFirstToken = true;

        private Attempt(long promptTokens, long memoryTokens, long sentNanos) {
            mPromptTokens = promptTokens;
            mMemoryTokens = memoryTokens;
            mSentNanos = sentNanos;
        }
    }
}
