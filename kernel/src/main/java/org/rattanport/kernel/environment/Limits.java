package org.rattanport.kernel.environment;

import java.time.Duration;

/**
 * Limits of an environment.
 *
 * @param maximumTimeLimit maximum time limit that a caller may request
 * @param maximumOutputTokens maximum length of an answer
 * @param maximumQueuedTokens maximum number of prompt tokens in the queue of one instance
 * @param ageingInterval waiting time that raises the priority of a queued request by one
 * @param maximumTargetDeathsPerRequest number of targets that may fail while they run a request
 *     before the request is refused as a poison request
 * @param idempotencyRetention how long an idempotency key is retained after the outcome of its call
 * @param maximumConcurrentModelLoads maximum number of engines, over all models, that load weights
 *     at the same time
 */
public record Limits(
        Duration maximumTimeLimit,
        int maximumOutputTokens,
        long maximumQueuedTokens,
        Duration ageingInterval,
        int maximumTargetDeathsPerRequest,
        Duration idempotencyRetention,
        int maximumConcurrentModelLoads) {}
