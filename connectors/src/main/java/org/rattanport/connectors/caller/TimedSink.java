package org.rattanport.connectors.caller;

import org.rattanport.connectors.metrics.InstanceMetrics;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.request.AnswerSink;
import org.rattanport.kernel.time.TimeSource;

/** Measures the time to the first chunk, and counts tokens, on the way to another sink. */
final class TimedSink implements AnswerSink {
    private static final double NANOS_PER_SECOND = 1e9;

    private final AnswerSink mNext;
    private final TimeSource mTime;
    private final InstanceMetrics mMetrics;
    private final String mLengthClass;
    private final long mStartNanos;
    private boolean mHasChunk;

    TimedSink(AnswerSink next, TimeSource time, InstanceMetrics metrics, String lengthClass) {
        mNext = next;
        mTime = time;
        mMetrics = metrics;
        mLengthClass = lengthClass;
        mStartNanos = time.nanoTime();
    }

    @Override
    public void attemptStarted(TargetId target, int attempt) {
        mNext.attemptStarted(target, attempt);
    }

    @Override
    public void accept(AnswerChunk chunk) {
        if (!mHasChunk) {
            mHasChunk = true;
            double seconds = (mTime.nanoTime() - mStartNanos) / NANOS_PER_SECOND;
            mMetrics.firstToken(mLengthClass, seconds);
        }
        mMetrics.outputTokens(chunk.tokens());
        mNext.accept(chunk);
    }
}
