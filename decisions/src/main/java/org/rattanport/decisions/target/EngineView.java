package org.rattanport.decisions.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetLoad;

/**
 * Load of one engine as this instance estimates it: the last report, which lags, corrected by what
 * the instance itself has sent since and by what of its own still waits for a first token.
 */
public final class EngineView {
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

    public EngineView(TargetLoad report, long nowNanos) {
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

    /** Takes a report; one that is older than the last is dropped. */
    public synchronized void update(TargetLoad report, long nowNanos) {
        if (report.sequence() >= mReport.sequence()) {
            mReport = report;
            mReportNanos = nowNanos;
            dropReportedAttempts();
        }
    }

    /** Counts an attempt that is about to be sent. */
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

    /** Counts the first token of an attempt: its prompt waits no longer. */
    public synchronized void recordFirstToken(String key) {
        Attempt attempt = mAttempts.get(key);
        if (attempt != null && attempt.mAwaitsFirstToken) {
            attempt.mAwaitsFirstToken = false;
            mOwnWaitingTokens -= attempt.mPromptTokens;
        }
    }

    /** Forgets an attempt that ended. */
    public synchronized void removeAttempt(String key) {
        recordFirstToken(key);
        Attempt attempt = mAttempts.remove(key);
        if (attempt != null && mUnreported.remove(attempt)) {
            mUnreportedPromptTokens -= attempt.mPromptTokens;
            mUnreportedMemoryTokens -= attempt.mMemoryTokens;
        }
    }

    /** Prompt tokens that go before a new request. */
    public synchronized long backlogTokens() {
        return Math.max(mReport.waitingPromptTokens() + mUnreportedPromptTokens, mOwnWaitingTokens);
    }

    /** Memory that a new request can count on. */
    public synchronized long freeMemoryTokens() {
        return mReport.totalMemoryTokens() - mReport.usedMemoryTokens() - mUnreportedMemoryTokens;
    }

    /** Time since the last report came. */
    public synchronized Duration reportAge(long nowNanos) {
        return Duration.ofNanos(Math.max(0, nowNanos - mReportNanos));
    }

    /** Time since this instance last had an attempt here; zero while it has one. */
    public synchronized Duration idleTime(long nowNanos) {
        return mAttempts.isEmpty()
                ? Duration.ofNanos(Math.max(0, nowNanos - mLastUsedNanos))
                : Duration.ZERO;
    }

    /** Own attempts in flight. */
    public synchronized int outstanding() {
        return mAttempts.size();
    }

    /**
     * Takes tokens from the budget that other length classes have on this engine.
     *
     * @param tokensPerSecond rate of the budget; one second of it may be saved up
     */
    public synchronized boolean hasBorrowingBudget(double tokensPerSecond, long nowNanos) {
        refillBorrowingBudget(tokensPerSecond, nowNanos);
        return mBorrowingDebtTokens <= 0;
    }

    /** Charges borrowed work; a large piece leaves a debt that must be paid back by waiting. */
    public synchronized void chargeBorrowing(long promptTokens) {
        mBorrowingDebtTokens += promptTokens;
    }

    private void refillBorrowingBudget(double tokensPerSecond, long nowNanos) {
        double paid = tokensPerSecond * (nowNanos - mLastRefillNanos) / 1e9;
        mBorrowingDebtTokens = Math.max(-tokensPerSecond, mBorrowingDebtTokens - paid);
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
