package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.rattanport.kernel.time.ManualTimeSource;
import org.rattanport.kernel.time.TimeSource;

/** Actions that happen at moments of virtual time. */
final class VirtualEvents {
    private record Event(long nanos, long order, Runnable action) {}

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::nanos).thenComparingLong(Event::order));
    private long mEventCount;

    /** Does something later. */
    void after(Duration delay, Runnable action) {
        mEvents.add(new Event(mTime.nanoTime() + delay.toNanos(), mEventCount++, action));
    }

    void run(Duration duration) {
        long end = mTime.nanoTime() + duration.toNanos();
        while (!mEvents.isEmpty() && mEvents.peek().nanos() <= end) {
            Event event = mEvents.remove();
            mTime.advance(Duration.ofNanos(Math.max(0, event.nanos() - mTime.nanoTime())));
            event.action().run();
        }
        mTime.advance(Duration.ofNanos(end - mTime.nanoTime()));
    }

    TimeSource time() {
        return mTime;
    }

    long now() {
        return mTime.nanoTime();
    }
}
