package org.rattanport.connectors.caller;

import org.rattanport.connectors.metrics.InstanceMetrics;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.request.AnswerSink;
import org.rattanport.kernel.time.TimeSource;

/** Measures the time to the first chunk, counts output tokens, and delegates to another sink. */
final class MetricsSink implements AnswerSink {
    private static final double NANOS_PER_SECOND = 1e9;

    private final AnswerSink mDelegate;
    private final TimeSource mTime;
    private final InstanceMetrics mMetrics;
    private final String mLengthClass;
    private final long mStartNanos;
    private boolean mHasReceivedChunk;

    MetricsSink(AnswerSink delegate, TimeSource time, InstanceMetrics metrics, String lengthClass) {
        mDelegate = delegate;
        mTime = time;
        mMetrics = metrics;
        mLengthClass = lengthClass;
        mStartNanos = time.nanoTime();
    }

    @Override
    public void onAttemptStarted(TargetId target, int attempt) {
        mDelegate.onAttemptStarted(target, attempt);
    }

    @Override
    public void accept(AnswerChunk chunk) {
        if (!mHasReceivedChunk) {
            mHasReceivedChunk = true;
            double seconds = (mTime.nanoTime() - mStartNanos) / NANOS_PER_SECOND;
            mMetrics.observeFirstToken(mLengthClass, seconds);
        }
        mMetrics.countOutputTokens(chunk.tokens());
        mDelegate.accept(chunk);
    }
}
