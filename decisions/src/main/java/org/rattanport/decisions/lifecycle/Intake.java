package org.rattanport.decisions.lifecycle;

import java.time.Duration;

/** A place where the instance takes in requests. */
public interface Intake {
    /**
     * Takes in no more requests, and waits until those that were taken in have ended. Returns false
     * when that takes longer than the timeout; a later call goes on waiting.
     */
    boolean close(Duration timeout);
}
