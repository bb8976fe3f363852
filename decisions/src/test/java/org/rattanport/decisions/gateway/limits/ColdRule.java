package org.rattanport.decisions.gateway.limits;

import java.util.ArrayList;
import java.util.List;
import org.rattanport.kernel.gateway.ColdBound;

/** Checks what one run of a back end got while it was cold. */
final class ColdRule {
    private static final long WINDOW_NANOS = 1_000_000_000;

    private final List<Long> mColdArrivals = new ArrayList<>();
    private long mArrivals;

    /** Records a request that reached the run, whichever instance sent it. */
    void recordArrival(long nanos, boolean isCold) {
        mArrivals++;
        if (isCold) {
            mColdArrivals.add(nanos);
        }
    }

    long arrivals() {
        return mArrivals;
    }

    long coldArrivals() {
        return mColdArrivals.size();
    }

    /** Most requests within one second in which the back end was cold. */
    int mostArrivals() {
        int most = 0;
        int start = 0;
        for (int end = 0; end < mColdArrivals.size(); end++) {
            while (mColdArrivals.get(end) - mColdArrivals.get(start) >= WINDOW_NANOS) {
                start++;
            }
            most = Math.max(most, end - start + 1);
        }
        return most;
    }

    static double allowed(double requestsPerSecond) {
        return ColdBound.DEFAULT.allowed(requestsPerSecond);
    }
}
