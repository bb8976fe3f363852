package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.rattanport.kernel.time.TimeSource;

/**
 * Bounds the requests that are sent again to a service: a share of the first ones in a sliding
 * window, and this instance's part of a slack that all instances have together.
 */
public final class RepeatAllowance {
    /** Part of the bound that is used, so that instances that count apart stay within it. */
    private static final double USED_PART = 0.8;

    private static final class Window {
        private final Deque<Long> mFirst = new ArrayDeque<>();
        private final Deque<Long> mRepeated = new ArrayDeque<>();
    }

    private final TimeSource mTime;
    private final Duration mWindow;
    private final double mRatio;
    private final int mSlack;
    private final IntSupplier mInstances;
    private final Map<String, Window> mWindows = new HashMap<>();

    public RepeatAllowance(
            TimeSource time, Duration window, double ratio, int slack, IntSupplier instances) {
        mTime = time;
        mWindow = window;
        mRatio = ratio;
        mSlack = slack;
        mInstances = instances;
    }

    /** Counts the first sending of a request. */
    public synchronized void first(String service) {
        window(service).mFirst.add(mTime.nanoTime());
    }

    /** Takes one repeat; false when the allowance of the window is used up. */
    public synchronized boolean take(String service) {
        Window window = window(service);
        double slack = (double) mSlack / Math.max(1, mInstances.getAsInt());
        double allowed = USED_PART * (mRatio * window.mFirst.size() + slack);
        if (window.mRepeated.size() + 1 > allowed) {
            return false;
        }
        window.mRepeated.add(mTime.nanoTime());
        return true;
    }

    private Window window(String service) {
        Window window = mWindows.computeIfAbsent(service, name -> new Window());
        long oldest = mTime.nanoTime() - mWindow.toNanos();
        prune(window.mFirst, oldest);
        prune(window.mRepeated, oldest);
        return window;
    }

    private static void prune(Deque<Long> times, long oldest) {
        while (!times.isEmpty() && times.getFirst() - oldest < 0) {
            times.removeFirst();
        }
    }
}
