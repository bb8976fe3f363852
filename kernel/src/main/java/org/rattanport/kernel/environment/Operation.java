package org.rattanport.kernel.environment;

import java.time.Duration;
import java.util.Set;

/**
 * An operation of a plain service.
 *
 * @param name name in the path
 * @param isIdempotent whether it may be repeated freely
 * @param timeLimit time that a call gets when the caller names none
 * @param notRunStatuses statuses by which the service guarantees that it did nothing
 */
public record Operation(
        String name, boolean isIdempotent, Duration timeLimit, Set<Integer> notRunStatuses) {}
