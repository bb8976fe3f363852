package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.time.TimeSource;

/** A clock on which a sleep ends only by an interrupt. */
final class StoppedTimeSource implements TimeSource {
    @Override
    public long nanoTime() {
        return 0;
    }

    @Override
    public long wallMillis() {
        return 0;
    }

    @Override
    public void sleep(Duration duration) {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }
}
