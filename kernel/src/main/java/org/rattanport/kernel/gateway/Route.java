package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.List;

/**
 * A route of the document in force.
 *
 * @param name name for logs
 * @param host host name that requests are addressed to
 * @param prefix start of the paths that belong to the route
 * @param services services that share the requests
 * @param kind what may be repeated
 * @param timeout longest time that a request may take
 * @param objective time within which an answer, or its first event, is on time
 * @param maxAttempts engines that one request may be run on
 * @param priority rank of the route; 0 is the highest
 * @param isPublic whether requests need no key
 * @param isResumable whether a stream may go on at another engine
 * @param longestPause longest pause between events that is on time
 */
public record Route(
        String name,
        String host,
        String prefix,
        List<WeightedService> services,
        RouteKind kind,
        Duration timeout,
        Duration objective,
        int maxAttempts,
        int priority,
        boolean isPublic,
        boolean isResumable,
        Duration longestPause) {
    /** Whether a request that may have run may be sent again. */
    public boolean isRepeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable);
    }
}
