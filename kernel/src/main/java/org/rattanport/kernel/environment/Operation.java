package org.rattanport.kernel.environment;

import java.time.Duration;
import java.util.Set;

/**
 * An operation of a plain service.
 *
 * @param name name of the operation in the request path
 * @param isIdempotent whether calls may be retried without an idempotency key
 * @param timeLimit default time limit of calls
 * @param notRunStatuses statuses by which the service guarantees that it did not run the call
 */
public record Operation(
        String name, boolean isIdempotent, Duration timeLimit, Set<Integer> notRunStatuses) {}
