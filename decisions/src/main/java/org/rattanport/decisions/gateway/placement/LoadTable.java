package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.rattanport.kernel.gateway.BackEndLoad;
import org.rattanport.kernel.time.TimeSource;

/**
 * Load of back ends, from their own reports and from the requests that this instance sent there.
 */
public final class LoadTable {
    /** Age at which a report no longer counts; requests take tens of milliseconds. */
    private static final Duration REPORT_LIFETIME = Duration.ofMillis(500);

    private record Report(BackEndLoad load, long receivedNanos) {}

    private final TimeSource mTime;
    private final Map<String, Report> mReports = new HashMap<>();
    private final Map<String, Integer> mOwnRequests = new HashMap<>();

    public LoadTable(TimeSource time) {
        mTime = time;
    }

    public synchronized void recordReport(String id, BackEndLoad load) {
        mReports.put(id, new Report(load, mTime.nanoTime()));
    }

    public synchronized void requestSent(String id) {
        mOwnRequests.merge(id, 1, Integer::sum);
    }

    public synchronized void requestEnded(String id) {
        mOwnRequests.computeIfPresent(id, (key, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Estimates the requests at the back end: the last report, discounted by its age, but at least
     * the requests of this instance.
     */
    public synchronized double estimatedRequests(String id) {
        int own = mOwnRequests.getOrDefault(id, 0);
        Report report = mReports.get(id);
        if (report == null) {
            return own;
        }
        double age =
                (mTime.nanoTime() - report.receivedNanos()) / (double) REPORT_LIFETIME.toNanos();
        double reported = report.load().running() + report.load().waiting();
        return Math.max(own, reported * Math.max(0, 1 - age));
    }
}
