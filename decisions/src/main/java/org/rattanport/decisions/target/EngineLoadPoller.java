package org.rattanport.decisions.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.task.PeriodicTask;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Runs one task for each engine in the subset of this instance. The task requests a load report
 * when no answer has delivered one recently.
 */
public final class EngineLoadPoller implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(EngineLoadPoller.class);
    private static final int IDLE_PERIOD_FACTOR = 10;
    private static final Duration LOAD_TIMEOUT = Duration.ofSeconds(1);

    private final TargetDirectory mDirectory;
    private final EngineLoadTable mEngineLoads;
    private final EngineClient mEngines;
    private final TargetSubset mSubset;
    private final TimeSource mTime;
    private final Duration mPeriod;
    private final Map<String, PeriodicTask> mTasks = new HashMap<>();

    public EngineLoadPoller(
            TargetDirectory directory,
            EngineLoadTable engineLoads,
            EngineClient engines,
            TargetSubset subset,
            TimeSource time,
            Duration period) {
        mDirectory = directory;
        mEngineLoads = engineLoads;
        mEngines = engines;
        mSubset = subset;
        mTime = time;
        mPeriod = period;
    }

    /** Starts and stops tasks to match the engines in the subset of this instance. */
    public synchronized void updateTasks() {
        List<Target> all = mDirectory.all(TargetKind.ENGINE);
        List<String> names = mSubset.select(all).stream().map(each -> each.id().name()).toList();
        mTasks.entrySet()
                .removeIf(
                        entry -> {
                            boolean isRemoved = !names.contains(entry.getKey());
                            if (isRemoved) {
                                entry.getValue().close();
                            }
                            return isRemoved;
                        });
        names.forEach(name -> mTasks.computeIfAbsent(name, this::startTask));
        mEngineLoads.retain(all);
    }

    private PeriodicTask startTask(String name) {
        return new PeriodicTask("target-" + name, mTime, mPeriod, () -> readLoad(name));
    }

    private void readLoad(String name) {
        mDirectory.all(TargetKind.ENGINE).stream()
                .filter(each -> each.id().name().equals(name))
                .findFirst()
                .filter(this::isDue)
                .ifPresent(this::readLoad);
    }

    /**
     * Whether the latest report is too old. Answers carry load reports, so an engine in use is
     * seldom polled; an engine that this instance does not use is polled at a longer period.
     */
    private boolean isDue(Target target) {
        long now = mTime.nanoTime();
        return mEngineLoads
                .find(target.id())
                .map(
                        load -> {
                            boolean isUnused =
                                    load.idleTime(now)
                                                    .compareTo(
                                                            mPeriod.multipliedBy(
                                                                    IDLE_PERIOD_FACTOR))
                                            > 0;
                            Duration due =
                                    isUnused ? mPeriod.multipliedBy(IDLE_PERIOD_FACTOR) : mPeriod;
                            return load.reportAge(now).compareTo(due) >= 0;
                        })
                .orElse(true);
    }

    private void readLoad(Target target) {
        TargetId id = target.id();
        try {
            TargetLoad load = mEngines.loadReport(target, Deadline.after(mTime, LOAD_TIMEOUT));
            mDirectory.updateFromReport(load);
            mEngineLoads.update(load);
            mDirectory.health().recordSuccess(id);
        } catch (RattanportException e) {
            LOGGER.debugf("cannot read the load of engine %s: %s", id, e.getMessage());
            mDirectory.health().recordFailure(id);
        }
    }

    @Override
    public synchronized void close() {
        mTasks.values().forEach(PeriodicTask::close);
        mTasks.clear();
    }
}
