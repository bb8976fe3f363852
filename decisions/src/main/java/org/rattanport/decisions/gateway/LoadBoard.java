package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.rattanport.kernel.gateway.BackEndLoad;
import org.rattanport.kernel.time.TimeSource;

/** What back ends said of their load, and what this instance has there itself. */
public final class LoadBoard {
    /** Age at which a report says nothing any more; requests take tens of milliseconds. */
    private static final Duration REPORT_LIFE = Duration.ofMillis(500);

    private record Report(BackEndLoad load, long nanos) {}

    private final TimeSource mTime;
    private final Map<String, Report> mReports = new HashMap<>();
    private final Map<String, Integer> mOwn = new HashMap<>();

    public LoadBoard(TimeSource time) {
        mTime = time;
    }

    public synchronized void reported(String id, BackEndLoad load) {
        mReports.put(id, new Report(load, mTime.nanoTime()));
    }

    public synchronized void sent(String id) {
        mOwn.merge(id, 1, Integer::sum);
    }

    public synchronized void done(String id) {
        mOwn.computeIfPresent(id, (key, count) -> count > 1 ? count - 1 : null);
    }

    /** Estimated requests at the back end: the last report, as far as it still says something. */
    public synchronized double busyPlaces(String id) {
        int own = mOwn.getOrDefault(id, 0);
        Report report = mReports.get(id);
        if (report == null) {
            return own;
        }
        double age = (mTime.nanoTime() - report.nanos()) / (double) REPORT_LIFE.toNanos();
        double told = report.load().running() + report.load().waiting();
        return Math.max(own, told * Math.max(0, 1 - age));
    }
}
