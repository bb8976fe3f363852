package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.Supplier;
import org.rattanport.kernel.time.TimeSource;

/**
 * Limits retries per service in a sliding window: a ratio of the first attempts, plus this
 * instance's share of a slack that all instances have together.
 */
public final class ServiceRetryBudget {
    /**
     * Fraction of the limit that is used, so that instances with separate counts stay within it.
     */
    private static final double USABLE_FRACTION = 0.8;

    private static final class Window {
        private final Deque<Long> mFirstAttempts = new ArrayDeque<>();
        private final Deque<Long> mRetries = new ArrayDeque<>();
    }

    private final TimeSource mTime;
    private final Duration mWindow;
    private final double mRatio;
    private final int mSlack;
    private final Supplier<OptionalInt> mInstances;
    private final Map<String, Window> mWindows = new HashMap<>();

    /**
     * Creates the budget.
     *
     * @param slack retries in a window that all instances have together
     * @param instances number of instances; empty while it is not known, which leaves no slack
     */
    public ServiceRetryBudget(
            TimeSource time,
            Duration window,
            double ratio,
            int slack,
            Supplier<OptionalInt> instances) {
        mTime = time;
        mWindow = window;
        mRatio = ratio;
        mSlack = slack;
        mInstances = instances;
    }

    /** Counts the first attempt of a request. */
    public synchronized void recordFirstAttempt(String service) {
        window(service).mFirstAttempts.add(mTime.nanoTime());
    }

    /** Takes one retry; returns false when the budget of the window is exhausted. */
    public synchronized boolean tryAcquire(String service) {
        if (!isAvailable(service)) {
            return false;
        }
        window(service).mRetries.add(mTime.nanoTime());
        return true;
    }

    /** Whether the budget of the window allows a retry now. */
    public synchronized boolean isAvailable(String service) {
        Window window = window(service);
        OptionalInt instances = mInstances.get();
        double slack =
                instances.isPresent() ? (double) mSlack / Math.max(1, instances.getAsInt()) : 0;
        double allowed = USABLE_FRACTION * (mRatio * window.mFirstAttempts.size() + slack);
        return window.mRetries.size() + 1 <= allowed;
    }

    private Window window(String service) {
        Window window = mWindows.computeIfAbsent(service, name -> new Window());
        long oldest = mTime.nanoTime() - mWindow.toNanos();
        prune(window.mFirstAttempts, oldest);
        prune(window.mRetries, oldest);
        return window;
    }

    private static void prune(Deque<Long> times, long oldest) {
        while (!times.isEmpty() && times.getFirst() - oldest < 0) {
            times.removeFirst();
        }
    }
}
