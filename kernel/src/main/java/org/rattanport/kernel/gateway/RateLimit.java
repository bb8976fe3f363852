package org.rattanport.kernel.gateway;

import java.util.Optional;

/**
 * Number of requests a second that a back end takes from all instances together.
 *
 * @param requestsPerSecond a finite number that is not negative; 0 if it wants no requests
 */
public record RateLimit(double requestsPerSecond) {
    public RateLimit {
        if (!isValid(requestsPerSecond)) {
            throw new IllegalArgumentException("not a rate limit: " + requestsPerSecond);
        }
    }

    private static boolean isValid(double requestsPerSecond) {
        return Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0;
    }

    /** Returns the limit; empty for a number that is negative, infinite or not a number. */
    public static Optional<RateLimit> of(double requestsPerSecond) {
        return isValid(requestsPerSecond)
                ? Optional.of(new RateLimit(requestsPerSecond))
                : Optional.empty();
    }
}
