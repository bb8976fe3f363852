package org.rattanport.kernel.plugin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.rattanport.kernel.task.PeriodicTask;
import org.rattanport.kernel.time.TimeSource;

/** The periodic tasks of one plug-in; closing the group ends all of them. */
public final class TaskGroup implements AutoCloseable {
    private final TimeSource mTime;
    private final List<PeriodicTask> mTasks = new ArrayList<>();

    public TaskGroup(TimeSource time) {
        mTime = time;
    }

    /** Starts a task that repeats the step after each interval. */
    public void schedule(String name, Duration interval, Runnable step) {
        mTasks.add(new PeriodicTask(name, mTime, interval, step));
    }

    @Override
    public void close() {
        mTasks.forEach(PeriodicTask::close);
        mTasks.clear();
    }
}
