package org.rattanport.decisions.gateway.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.DoubleSummaryStatistics;
import java.util.Optional;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineSpec;
import org.rattanport.kernel.gateway.EngineWork;

/**
 * What the events of one prompt show about its decode engine.
 *
 * <p>Several consecutive passes are evidence, as a long prompt that this instance does not know of
 * lengthens one pass. Events of several passes that had gathered before anybody waited for them
 * show that this instance or its caller was late, and discard the evidence.
 */
final class ObservedStream {
    /** Consecutive passes that must agree; two long prompts in a row can lengthen two passes. */
    private static final int EVIDENCE_PASSES = 3;

    /**
     * Duration of a pass, compared with that of the fullest engine, from which the pass is slow.
     * This instance does not know all requests that decode in the pass.
     */
    static final double SLOW_RATIO = 1.5;

    /**
     * Ratio of the slowest to the fastest of these passes. A slow engine lengthens all passes
     * alike, prompts that arrive in succession lengthen each by another time.
     */
    private static final double MAX_SPREAD = 1.5;

    /** Excess over the prediction that scheduling and the network cause on a healthy machine. */
    private static final double MIN_EXCESS_MILLIS = 30;

    /** Fraction of the time between two events that is spent waiting for the engine. */
    private static final double MIN_WAIT_FRACTION = 0.75;

    /** Fraction of the shortest pass below which events were there before they were awaited. */
    private static final double EARLY_FRACTION = 0.25;

    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * What one pass shows.
     *
     * @param ratio its duration compared with the prediction for the load that is known here
     * @param isSlow whether it was also slow for the fullest engine
     */
    record Pass(double ratio, boolean isSlow) {}

    private final EngineWork mWork;
    private final EngineShare mShare;
    private final ForwardPassModel mModel;
    private final WorkTracker mTracker;

    /** Slowdown that this instance assumed when the request was written. */
    private final double mAssumedFactor;

    private final Deque<Pass> mPasses = new ArrayDeque<>();

    /** When the events of the last pass began to arrive, or the request was written. */
    private long mBurstNanos;

    private int mBurstEvents;
    private boolean mHasEvents;

    /** Whether a pass was added that has not been judged together with those before it. */
    private boolean mIsToBeJudged;

    ObservedStream(
            EngineWork work,
            EngineShare share,
            ForwardPassModel model,
            WorkTracker tracker,
            long writtenNanos) {
        mWork = work;
        mShare = share;
        mModel = model;
        mTracker = tracker;
        mAssumedFactor = tracker.slowdowns().factor(share.engineId());
        mBurstNanos = writtenNanos;
    }

    String engineId() {
        return mShare.engineId();
    }

    /**
     * Records that events have arrived now. Returns what the passes show, if the events complete
     * one.
     *
     * @param events number of events that were complete at once
     * @param waitStartNanos when this instance began to wait for them
     */
    Optional<Pass> eventsArrived(int events, long waitStartNanos, long now) {
        double waited = millis(waitStartNanos, now);
        if (!mHasEvents) {
            mHasEvents = true;
            beginBurst(1, now, firstPass(millis(mBurstNanos, now)));
        } else if (waited < EARLY_FRACTION * mModel.decodePassMillis(1, 0)) {
            mBurstEvents += events;
        } else {
            boolean wasReaderLate =
                    waited < MIN_WAIT_FRACTION * millis(mBurstNanos, now) || !isBurstOfOnePass();
            if (wasReaderLate) {
                mPasses.clear();
            }
            beginBurst(events, now, wasReaderLate ? Optional.empty() : pass(now));
        }
        return judge();
    }

    private static double millis(long fromNanos, long toNanos) {
        return (toNanos - fromNanos) / NANOS_PER_MILLI;
    }

    /** Records that the events of a pass begin to arrive, and what the pass shows. */
    private void beginBurst(int events, long now, Optional<Pass> pass) {
        mBurstNanos = now;
        mBurstEvents = events;
        mIsToBeJudged = pass.isPresent();
        pass.ifPresent(this::add);
    }

    /**
     * Whether so many events at once are those of one pass: a single one, or one for each token.
     * Others had gathered over several passes while nobody read them.
     */
    private boolean isBurstOfOnePass() {
        int steps = mModel.spec().decodeStepsPerPass();
        boolean isEachToken = 2 * mBurstEvents > steps && 2 * mBurstEvents < 3 * steps;
        return mBurstEvents == 1 || isEachToken;
    }

    /** What the passes show once the events of the last one are complete. */
    private Optional<Pass> judge() {
        if (!mIsToBeJudged || !isBurstOfOnePass()) {
            return Optional.empty();
        }
        mIsToBeJudged = false;
        return agreement();
    }

    private void add(Pass pass) {
        mPasses.addLast(pass);
        if (mPasses.size() > EVIDENCE_PASSES) {
            mPasses.removeFirst();
        }
    }

    /** What all passes show, by the fastest of them; empty if the passes differ. */
    private Optional<Pass> agreement() {
        if (mPasses.size() < EVIDENCE_PASSES) {
            return Optional.empty();
        }
        DoubleSummaryStatistics ratios =
                mPasses.stream().mapToDouble(Pass::ratio).summaryStatistics();
        boolean areSlow = mPasses.stream().allMatch(Pass::isSlow);
        boolean doAgree =
                areSlow
                        ? ratios.getMax() <= MAX_SPREAD * ratios.getMin()
                        : mPasses.stream().noneMatch(Pass::isSlow);
        return doAgree ? Optional.of(new Pass(ratios.getMin(), areSlow)) : Optional.empty();
    }

    private double longestPassMillis() {
        EngineSpec spec = mModel.spec();
        return mModel.decodePassMillis(spec.slots(), spec.memoryTokens());
    }

    /**
     * What the first event shows. The prediction includes the slowdown that was assumed; a first
     * event in time confirms the declared figures only if it would also be in time without it. With
     * several prefill engines it is unknown which one was late.
     */
    private Optional<Pass> firstPass(double elapsed) {
        double predicted = mWork.predictedFirstEventMillis();
        if (mWork.shares().size() > 1 || predicted <= 0) {
            return Optional.empty();
        }
        double ratio = Math.max(1, mAssumedFactor * elapsed / predicted);
        double longestPass = longestPassMillis();
        if (isSlow(elapsed, predicted + longestPass)) {
            return Optional.of(new Pass(ratio, true));
        }
        double idle = mShare.prefillMillis() + longestPass;
        boolean isInTime = mAssumedFactor <= 1 || !isSlow(elapsed, idle);
        return isInTime ? Optional.of(new Pass(ratio, false)) : Optional.empty();
    }

    /** What a pass shows; nothing if prefill work that is known here may have lengthened it. */
    private Optional<Pass> pass(long endNanos) {
        long startNanos = mBurstNanos;
        double elapsed = millis(startNanos, endNanos);
        String engineId = mShare.engineId();
        EngineLoadEstimate load = mTracker.estimateLoad(engineId);
        double predicted =
                mModel.decodePassMillis(Math.max(1, load.activeDecodes()), load.contextTokens());
        if (!isSlow(elapsed, longestPassMillis())) {
            return Optional.of(new Pass(Math.max(1, elapsed / predicted), false));
        }
        double prefill =
                mTracker.prefillMillisBetween(engineId, startNanos, endNanos, mWork.attemptId());
        return isSlow(elapsed, longestPassMillis() + prefill)
                ? Optional.of(new Pass(elapsed / (predicted + prefill), true))
                : Optional.empty();
    }

    private static boolean isSlow(double elapsedMillis, double longestMillis) {
        return elapsedMillis > SLOW_RATIO * longestMillis
                && elapsedMillis > longestMillis + MIN_EXCESS_MILLIS;
    }
}
