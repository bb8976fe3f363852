package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineSpec;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.WorkUpdate;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.time.TimeSource;

/**
 * Estimates the slowdown of engines from the events of this instance's prompts. The load that it
 * answers: an engine becomes five times slower for some seconds, and all requests that decode there
 * are late.
 *
 * <p>Several consecutive passes of one stream are evidence, as a long prompt that this instance
 * does not know of lengthens one pass. Events that came in while nobody waited for them show that
 * this instance or its caller was late, and discard the evidence of the stream.
 */
final class SlowdownObserver {
    /** Consecutive passes that must agree; two long prompts in a row can lengthen two passes. */
    private static final int EVIDENCE_PASSES = 3;

    /**
     * Duration of a pass, compared with that of the fullest engine, from which the pass is slow.
     * This instance does not know all requests that decode in the pass.
     */
    private static final double SLOW_RATIO = 1.5;

    /**
     * Ratio of the slowest to the fastest of these passes. A slow engine lengthens all passes
     * alike, prompts that arrive in succession lengthen each by another time.
     */
    private static final double MAX_SPREAD = 1.5;

    /** Excess over the prediction that scheduling and the network cause on a healthy machine. */
    private static final double MIN_EXCESS_MILLIS = 30;

    /** Fraction of the time between two events that is spent waiting for the engine. */
    private static final double MIN_WAIT_FRACTION = 0.75;

    /** Fraction of the shortest pass below which an event had arrived before it was awaited. */
    private static final double EARLY_FRACTION = 0.25;

    /**
     * Time after which a slowdown that is still seen, or is seen again, is reported again; half the
     * time for which a report counts in full.
     */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

    /** Time in which the passes of two engines are taken to be simultaneous. */
    private static final Duration SIMULTANEOUS = Duration.ofSeconds(1);

    /** Time for which a finding about an engine is kept to compare other engines with. */
    private static final Duration COMPARED_TIME = Duration.ofSeconds(10);

    /** Fewest other engines that show wrong figures if all of them are slow. */
    private static final int MIN_OTHERS = 2;

    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * What one pass shows.
     *
     * @param ratio its duration compared with the prediction for the load that is known here
     * @param isSlow whether it was also slow for the fullest engine
     */
    private record Pass(double ratio, boolean isSlow) {}

    /** A request that waits for events of its decode engine. */
    private static final class Stream {
        private final EngineWork mWork;
        private final EngineShare mShare;
        private final ForwardPassModel mModel;

        /** Slowdown that this instance assumed when the request was written. */
        private final double mAssumedFactor;

        private final Deque<Pass> mPasses = new ArrayDeque<>();
        private long mLastNanos;
        private boolean mHasEvents;

        private Stream(
                EngineWork work,
                EngineShare share,
                ForwardPassModel model,
                double assumedFactor,
                long writtenNanos) {
            mWork = work;
            mShare = share;
            mModel = model;
            mAssumedFactor = assumedFactor;
            mLastNanos = writtenNanos;
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

        private double shortestPassMillis() {
            return mModel.decodePassMillis(1, 0);
        }

        private double longestPassMillis() {
            EngineSpec spec = mModel.spec();
            return mModel.decodePassMillis(spec.slots(), spec.memoryTokens());
        }
    }

    /**
     * What the passes of an engine showed last.
     *
     * @param attemptId request whose events showed it
     * @param ratio duration of the passes compared with the prediction
     * @param seenNanos when it was seen
     * @param report the last report about the engine
     */
    private record Finding(String attemptId, double ratio, long seenNanos, Report report) {
        Finding withReport(Report other) {
            return new Finding(attemptId, ratio, seenNanos, other);
        }
    }

    /**
     * A report about an engine.
     *
     * @param factor the reported slowdown; 1 if there is none to withdraw
     * @param nanos when it was reported
     * @param coordinator the coordinator that got it
     */
    private record Report(double factor, long nanos, Optional<InstanceId> coordinator) {
        private static final Report NONE = new Report(1, 0, Optional.empty());
    }

    private final WorkTracker mTracker;
    private final TimeSource mTime;
    private final Map<String, Stream> mStreams = new HashMap<>();
    private final Map<String, Finding> mFindings = new HashMap<>();

    SlowdownObserver(WorkTracker tracker, TimeSource time) {
        mTracker = tracker;
        mTime = time;
    }

    /**
     * Records that the request is written to its decode engine now. An engine that declares no
     * duration of a pass is not observed.
     */
    synchronized void written(EngineWork work, EngineSpec spec) {
        ForwardPassModel model = new ForwardPassModel(spec);
        if (model.decodePassMillis(1, 0) <= 0) {
            return;
        }
        work.shares().stream()
                .filter(EngineShare::isDecodeEngine)
                .findFirst()
                .ifPresent(
                        share ->
                                mStreams.put(
                                        work.attemptId(),
                                        new Stream(
                                                work,
                                                share,
                                                model,
                                                mTracker.slowdowns().factor(share.engineId()),
                                                mTime.nanoTime())));
    }

    synchronized void ended(String attemptId) {
        mStreams.remove(attemptId);
    }

    /**
     * Records that events of the request have arrived now. Returns the slowdown of its engine if it
     * is to be reported.
     *
     * @param events number of events that were complete at once
     * @param waitStartNanos when this instance began to wait for them
     */
    synchronized Optional<WorkUpdate.EngineSlow> eventsArrived(
            String attemptId, int events, long waitStartNanos) {
        Stream stream = mStreams.get(attemptId);
        if (stream == null) {
            return Optional.empty();
        }
        long now = mTime.nanoTime();
        boolean isFirst = !stream.mHasEvents;
        long startNanos = stream.mLastNanos;
        stream.mHasEvents = true;
        stream.mLastNanos = now;
        if (isFirst) {
            firstPass(stream, millis(startNanos, now)).ifPresent(stream::add);
        } else if (isReaderLate(stream, events, startNanos, waitStartNanos, now)) {
            stream.mPasses.clear();
        } else {
            pass(stream, startNanos, now).ifPresent(stream::add);
        }
        return stream.agreement().flatMap(pass -> find(stream, pass, now));
    }

    private static double millis(long fromNanos, long toNanos) {
        return (toNanos - fromNanos) / NANOS_PER_MILLI;
    }

    private static boolean isReaderLate(
            Stream stream, int events, long startNanos, long waitStartNanos, long now) {
        double waited = millis(waitStartNanos, now);
        return events > 1
                || waited < MIN_WAIT_FRACTION * millis(startNanos, now)
                || waited < EARLY_FRACTION * stream.shortestPassMillis();
    }

    /**
     * What the first event shows. The prediction includes the slowdown that was assumed; a first
     * event in time confirms the declared figures only if it would also be in time without it. With
     * several prefill engines it is unknown which one was late.
     */
    private static Optional<Pass> firstPass(Stream stream, double elapsed) {
        double predicted = stream.mWork.predictedFirstEventMillis();
        if (stream.mWork.shares().size() > 1 || predicted <= 0) {
            return Optional.empty();
        }
        double ratio = Math.max(1, stream.mAssumedFactor * elapsed / predicted);
        double longestPass = stream.longestPassMillis();
        if (isSlow(elapsed, predicted + longestPass)) {
            return Optional.of(new Pass(ratio, true));
        }
        double idle = stream.mShare.prefillMillis() + longestPass;
        boolean isInTime = stream.mAssumedFactor <= 1 || !isSlow(elapsed, idle);
        return isInTime ? Optional.of(new Pass(ratio, false)) : Optional.empty();
    }

    /** What a pass shows; nothing if prefill work that is known here may have lengthened it. */
    private Optional<Pass> pass(Stream stream, long startNanos, long endNanos) {
        double elapsed = millis(startNanos, endNanos);
        String engineId = stream.mShare.engineId();
        EngineLoadEstimate load = mTracker.estimateLoad(engineId);
        double predicted =
                stream.mModel.decodePassMillis(
                        Math.max(1, load.activeDecodes()), load.contextTokens());
        if (!isSlow(elapsed, stream.longestPassMillis())) {
            return Optional.of(new Pass(Math.max(1, elapsed / predicted), false));
        }
        double prefill =
                mTracker.prefillMillisBetween(
                        engineId, startNanos, endNanos, stream.mWork.attemptId());
        return isSlow(elapsed, stream.longestPassMillis() + prefill)
                ? Optional.of(new Pass(elapsed / (predicted + prefill), true))
                : Optional.empty();
    }

    private static boolean isSlow(double elapsedMillis, double longestMillis) {
        return elapsedMillis > SLOW_RATIO * longestMillis
                && elapsedMillis > longestMillis + MIN_EXCESS_MILLIS;
    }

    private Optional<WorkUpdate.EngineSlow> find(Stream stream, Pass pass, long now) {
        mFindings.values().removeIf(each -> now - each.seenNanos() > COMPARED_TIME.toNanos());
        String engineId = stream.mShare.engineId();
        String attemptId = stream.mWork.attemptId();
        Finding before = mFindings.get(engineId);
        Report report = before == null ? Report.NONE : before.report();
        mFindings.put(engineId, new Finding(attemptId, pass.ratio(), now, report));
        double factor = pass.isSlow() ? pass.ratio() / usualRatio(engineId, now) : 1;
        boolean isDue =
                pass.isSlow()
                        ? factor >= SLOW_RATIO && isReportDue(report, now)
                        : report.factor() > 1;
        return isDue
                ? Optional.of(new WorkUpdate.EngineSlow(attemptId, engineId, bounded(factor)))
                : Optional.empty();
    }

    private static double bounded(double factor) {
        return Math.clamp(factor, 1, EngineSlowdowns.MAX_FACTOR);
    }

    private static boolean isReportDue(Report last, long now) {
        return last == Report.NONE || now - last.nanos() >= REPORT_INTERVAL.toNanos();
    }

    /**
     * The ratio that all other engines reach: those seen at the same time if this instance is late,
     * several within some seconds if the declared figures are wrong.
     */
    private double usualRatio(String engineId, long now) {
        List<Finding> others = new ArrayList<>();
        mFindings.forEach(
                (id, finding) -> {
                    if (!id.equals(engineId)) {
                        others.add(finding);
                    }
                });
        double simultaneous =
                others.stream()
                        .filter(each -> now - each.seenNanos() <= SIMULTANEOUS.toNanos())
                        .mapToDouble(Finding::ratio)
                        .min()
                        .orElse(1);
        double recent =
                others.size() < MIN_OTHERS
                        ? 1
                        : others.stream().mapToDouble(Finding::ratio).min().orElse(1);
        return Math.max(1, Math.max(simultaneous, recent));
    }

    /** Records that the coordinator gets the update. */
    synchronized void reported(WorkUpdate.EngineSlow update, Optional<InstanceId> coordinator) {
        Report report = new Report(update.factor(), mTime.nanoTime(), coordinator);
        mFindings.computeIfPresent(update.engineId(), (id, each) -> each.withReport(report));
    }

    /** Slowdowns of engines that another coordinator was told of, and this one not yet. */
    synchronized List<WorkUpdate.EngineSlow> handOver(
            InstanceId coordinator, Predicate<String> isInGroup) {
        long now = mTime.nanoTime();
        List<WorkUpdate.EngineSlow> updates = new ArrayList<>();
        mFindings.replaceAll(
                (engineId, finding) -> {
                    Report last = finding.report();
                    boolean isOpen =
                            last.factor() > 1
                                    && now - finding.seenNanos() <= SIMULTANEOUS.toNanos()
                                    && last.coordinator().filter(coordinator::equals).isEmpty();
                    if (!isOpen || !isInGroup.test(engineId)) {
                        return finding;
                    }
                    updates.add(
                            new WorkUpdate.EngineSlow(
                                    finding.attemptId(), engineId, last.factor()));
                    return finding.withReport(
                            new Report(last.factor(), now, Optional.of(coordinator)));
                });
        return updates;
    }
}
