package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * A route of the active routing document.
 *
 * @param name name for logs
 * @param host host name of the requests that the route matches
 * @param pathPrefix path prefix of the requests that the route matches
 * @param services services among which the requests are split
 * @param kind whether and how requests may be retried
 * @param timeout maximum duration of a request
 * @param latencyObjective time within which a response, or the first event of a stream, is on time
 * @param maxAttempts maximum number of back ends that may run one request
 * @param priority priority of the route; 0 is the highest
 * @param isPublic whether requests need no account key
 * @param isResumable whether another engine may resume an interrupted stream
 * @param maxEventGap maximum gap between two events of a stream that is on time
 * @param allowedRegions regions where its requests may run; empty for all
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        List<WeightedService> services,
        RouteKind kind,
        Duration timeout,
        Duration latencyObjective,
        int maxAttempts,
        int priority,
        boolean isPublic,
        boolean isResumable,
        Duration maxEventGap,
        Set<String> allowedRegions) {
    /** Creates a route whose requests may run in all regions. */
    public Route(
            String name,
            String host,
            String pathPrefix,
            List<WeightedService> services,
            RouteKind kind,
            Duration timeout,
            Duration latencyObjective,
            int maxAttempts,
            int priority,
            boolean isPublic,
            boolean isResumable,
            Duration maxEventGap) {
        this(
                name,
                host,
                pathPrefix,
                services,
                kind,
                timeout,
                latencyObjective,
                maxAttempts,
                priority,
                isPublic,
                isResumable,
                maxEventGap,
                Set.of());
    }

    /** Whether a request may be retried after an attempt that may have run. */
    public boolean isRetryable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable);
    }
}
