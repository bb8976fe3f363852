package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
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
 * <p>The passes of one stream are evidence ({@link ObservedStream}). What all observed engines
 * share points to this instance or to wrong figures, and is divided out.
 */
final class SlowdownObserver {
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
    private final Map<String, ObservedStream> mStreams = new HashMap<>();
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
                .map(share -> new ObservedStream(work, share, model, mTracker, mTime.nanoTime()))
                .ifPresent(stream -> mStreams.put(work.attemptId(), stream));
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
        ObservedStream stream = mStreams.get(attemptId);
        if (stream == null) {
            return Optional.empty();
        }
        long now = mTime.nanoTime();
        return stream.eventsArrived(events, waitStartNanos, now)
                .flatMap(pass -> find(attemptId, stream.engineId(), pass, now));
    }

    private Optional<WorkUpdate.EngineSlow> find(
            String attemptId, String engineId, ObservedStream.Pass pass, long now) {
        mFindings.values().removeIf(each -> now - each.seenNanos() > COMPARED_TIME.toNanos());
        Finding before = mFindings.get(engineId);
        Report report = before == null ? Report.NONE : before.report();
        mFindings.put(engineId, new Finding(attemptId, pass.ratio(), now, report));
        double factor = pass.isSlow() ? pass.ratio() / usualRatio(engineId, now) : 1;
        boolean isDue =
                pass.isSlow()
                        ? factor >= ObservedStream.SLOW_RATIO && isReportDue(report, now)
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
