package org.rattanport.decisions.retry;

import org.rattanport.kernel.error.RattanportException;

/** Decides whether a failed attempt is followed by another one. */
public interface RetryPolicy {
    /**
     * Whether to try again.
     *
     * @param error how the attempt failed
     * @param isIdempotent whether the work may run twice
     * @param attempts attempts made so far
     * @param pool pool of the targets
     */
    boolean shouldRetry(RattanportException error, boolean isIdempotent, int attempts, String pool);
}
