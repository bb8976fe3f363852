package org.rattanport.kernel.gateway;

/**
 * Published when a prompt waits for its placement, because the engines have too much prefill work.
 *
 * @param attemptId attempt id that the caller sent
 * @param predictedFirstEventMillis time to the first event if it were placed now
 * @param delayMillis time until it is placed again
 */
public record PlacementPostponed(
        String attemptId, long predictedFirstEventMillis, long delayMillis) {}
