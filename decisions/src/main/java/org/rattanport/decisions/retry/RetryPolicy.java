package org.rattanport.decisions.retry;

import org.rattanport.kernel.error.RattanportException;

/** Decides whether to retry work after a failed attempt. */
public interface RetryPolicy {
    /**
     * Whether to retry.
     *
     * @param error error of the failed attempt
     * @param isIdempotent whether the work may run more than once
     * @param attempts number of attempts so far
     * @param pool name of the pool that serves the work
     */
    boolean shouldRetry(RattanportException error, boolean isIdempotent, int attempts, String pool);
}
