package org.rattanport.decisions.membership;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.TimeSource;

/**
 * Pings the ring neighbours as soon as there is an urgent rumor, so that it reaches all members
 * within a few round trips instead of a few probe periods.
 */
public final class RumorPusher {
    /** Rumors of this time go out together, which bounds the pings under a flood of rumors. */
    private static final Duration GATHER_TIME = Duration.ofMillis(100);

    private final Prober mProber;
    private final TimeSource mTime;
    private final AtomicBoolean mIsPending = new AtomicBoolean();

    public RumorPusher(Prober prober, TimeSource time) {
        mProber = prober;
        mTime = time;
    }

    public void requestPush() {
        if (mIsPending.compareAndSet(false, true)) {
            Tasks.start("push-rumors", this::push);
        }
    }

    private void push() {
        try {
            mTime.sleep(GATHER_TIME);
        } finally {
            mIsPending.set(false);
        }
        mProber.pingNeighbours();
    }
}
