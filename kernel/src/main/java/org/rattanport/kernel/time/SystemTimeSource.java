package org.rattanport.kernel.time;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.rattanport.kernel.error.RattanportException;

/** The system clock. */
public final class SystemTimeSource implements TimeSource {
    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public void sleep(Duration duration) {
        try {
            TimeUnit.NANOSECONDS.sleep(duration.toNanos());
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }
}
