package org.rattanport.kernel.time;

import java.time.Duration;

/**
 * Shows since when this process may have had no processor time. A signal that is received at the
 * end of such a pause may have been sent at its start.
 */
public final class Pulse {
    /** Interval between two beats. */
    public static final Duration INTERVAL = Duration.ofMillis(100);

    /** Longest gap between two beats that is no pause. */
    private static final Duration MAX_GAP = INTERVAL.multipliedBy(2);

    /** Time after a pause in which what came during it is still being received. */
    private static final Duration RECEIPT_TIME = Duration.ofMillis(300);

    /** A span without a beat. */
    private record Pause(long startNanos, long endNanos) {}

    private final TimeSource mTime;
    private Pause mLastPause;
    private long mLastBeatNanos;

    public Pulse(TimeSource time) {
        mTime = time;
        mLastBeatNanos = time.nanoTime();
        mLastPause = new Pause(mLastBeatNanos, mLastBeatNanos);
    }

    /** Records that the process runs. */
    public synchronized void beat() {
        long now = mTime.nanoTime();
        if (now - mLastBeatNanos > MAX_GAP.toNanos()) {
            mLastPause = new Pause(mLastBeatNanos, now);
        }
        mLastBeatNanos = now;
    }

    /**
     * Time since the start of a pause that has just ended; zero if there was none.
     *
     * @param max longest time that is returned; a signal may as well have been sent at the end of
     *     the pause
     */
    public synchronized Duration sincePause(Duration max) {
        beat();
        long now = mLastBeatNanos;
        if (now - mLastPause.endNanos() >= RECEIPT_TIME.toNanos()) {
            return Duration.ZERO;
        }
        Duration pause = Duration.ofNanos(now - mLastPause.startNanos());
        return pause.compareTo(max) < 0 ? pause : max;
    }
}
