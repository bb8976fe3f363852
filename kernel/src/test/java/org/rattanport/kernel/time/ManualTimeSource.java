package org.rattanport.kernel.time;

import java.time.Duration;

/** A clock that advances only when a test advances it or sleeps on it. */
public final class ManualTimeSource implements TimeSource {
    private long mNanos = 1_000_000_000L;

    @Override
    public synchronized long nanoTime() {
        return mNanos;
    }

    @Override
    public synchronized long wallMillis() {
        return mNanos / 1_000_000;
    }

    @Override
    public void sleep(Duration duration) {
        advance(duration);
    }

    public synchronized void advance(Duration duration) {
        mNanos += duration.toNanos();
    }
}
