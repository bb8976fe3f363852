package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.DoubleStream;
import org.jboss.logging.Logger;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.time.TimeSource;

/**
 * The slowdown of each engine: the duration of its passes compared with the figures that it
 * declares. The latest report about an engine counts, as an engine becomes slow and fast again
 * within seconds. A report that is not repeated fades, so that an engine that gets no requests is
 * tried again.
 */
public final class EngineSlowdowns {
    private static final Logger LOGGER = Logger.getLogger(EngineSlowdowns.class);

    /** Largest slowdown; a larger one would exclude the engine from a busy fleet. */
    static final double MAX_FACTOR = 10;

    /** Time for which a report counts in full; reports are repeated twice in that time. */
    private static final Duration FULL_TIME = Duration.ofSeconds(1);

    /** Time in which a report then fades, so that an engine gets its requests back step by step. */
    private static final Duration FADE_TIME = Duration.ofSeconds(1);

    /** Fewest engines whose median tells what is usual. */
    private static final int MIN_COMPARED = 3;

    private record Report(double factor, long receivedNanos, Optional<Long> run) {}

    private final TimeSource mTime;
    private final Function<String, Optional<BackEnd>> mFindEngine;
    private final Map<String, Report> mReports = new HashMap<>();

    /**
     * @param findEngine returns the engine that runs under an id now; a report does not count for a
     *     later run
     */
    public EngineSlowdowns(TimeSource time, Function<String, Optional<BackEnd>> findEngine) {
        mTime = time;
        mFindEngine = findEngine;
    }

    private Optional<Long> run(String engineId) {
        return mFindEngine.apply(engineId).map(BackEnd::startWallMillis);
    }

    /** Records the slowdown of the engine as of now; 1 withdraws an earlier one. */
    synchronized void record(String engineId, double factor) {
        removeFaded();
        if (!(factor > 1)) {
            if (mReports.remove(engineId) != null) {
                logEnd(engineId, "withdrawn");
            }
            return;
        }
        double bounded = Math.min(MAX_FACTOR, factor);
        Report report = new Report(bounded, mTime.nanoTime(), run(engineId));
        if (mReports.put(engineId, report) == null) {
            LOGGER.info(
                    LogLine.of("engine-slow")
                            .with("back_end", engineId)
                            .with("factor", String.format(Locale.ROOT, "%.1f", bounded)));
        }
    }

    /** The slowdown of the engine now, between 1 and {@link #MAX_FACTOR}. */
    synchronized double factor(String engineId) {
        Report report = mReports.get(engineId);
        if (report == null) {
            return 1;
        }
        if (isOfEarlierRun(engineId, report)) {
            mReports.remove(engineId);
            logEnd(engineId, "the engine runs anew");
            return 1;
        }
        double factor = fadedFactor(report);
        if (factor <= 1) {
            mReports.remove(engineId);
            logEnd(engineId, "not repeated");
        }
        return factor;
    }

    private boolean isOfEarlierRun(String engineId, Report report) {
        Optional<Long> run = run(engineId);
        return run.isPresent() && report.run().isPresent() && !run.equals(report.run());
    }

    private double fadedFactor(Report report) {
        long age = mTime.nanoTime() - report.receivedNanos();
        double faded = (age - FULL_TIME.toNanos()) / (double) FADE_TIME.toNanos();
        return 1 + (report.factor() - 1) * (1 - Math.clamp(faded, 0, 1));
    }

    private void removeFaded() {
        mReports.entrySet()
                .removeIf(
                        each -> {
                            boolean hasFaded = fadedFactor(each.getValue()) <= 1;
                            if (hasFaded) {
                                logEnd(each.getKey(), "not repeated");
                            }
                            return hasFaded;
                        });
    }

    private static void logEnd(String engineId, String reason) {
        LOGGER.info(
                LogLine.of("engine-slow-ends").with("back_end", engineId).with("reason", reason));
    }

    /**
     * The slowdown that most of the engines share, which points to wrong figures and not to one
     * engine.
     */
    static double sharedFactor(DoubleStream factors) {
        double[] sorted = factors.sorted().toArray();
        return sorted.length < MIN_COMPARED ? 1 : sorted[(sorted.length - 1) / 2];
    }
}
