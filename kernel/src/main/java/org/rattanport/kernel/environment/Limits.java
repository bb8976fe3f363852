package org.rattanport.kernel.environment;

import java.time.Duration;

/**
 * Bounds of an environment.
 *
 * @param maximumTimeLimit longest time that a caller may ask for
 * @param maximumOutputTokens longest answer
 * @param queuedTokens prompt tokens that one instance holds in its queue at most
 * @param ageing waiting time that raises a queued request by one priority
 * @param targetDeathsPerRequest engines that one request may take down before it is refused
 * @param idempotencyRetention how long an idempotency key is remembered after its outcome
 * @param modelLoadsAtOnce engines of all models that load weights at the same time at most
 */
public record Limits(
        Duration maximumTimeLimit,
        int maximumOutputTokens,
        long queuedTokens,
        Duration ageing,
        int targetDeathsPerRequest,
        Duration idempotencyRetention,
        int modelLoadsAtOnce) {}
