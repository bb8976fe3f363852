package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * What the response to one request said about the rate limit of a back end, as instances tell it to
 * each other.
 *
 * @param backEndId id of the back end
 * @param startWallMillis start of the run of the back end that responded
 * @param limit the limit; empty if the response named none
 * @param source instance that received the response, with its incarnation
 * @param number number that tells the response from others that the source received
 * @param age time since the request was written, which orders the updates about a run
 */
public record RateLimitUpdate(
        String backEndId,
        long startWallMillis,
        Optional<RateLimit> limit,
        String source,
        long number,
        Duration age) {
    /** Age of an update that says nothing; any response of the same run is newer. */
    private static final Duration AGE_OF_NOTHING = Duration.ofDays(365);

    /** Returns an update for a run of which no response is known. */
    public static RateLimitUpdate nothingKnown(String backEndId, long startWallMillis) {
        return new RateLimitUpdate(
                backEndId, startWallMillis, Optional.empty(), "-", 0, AGE_OF_NOTHING);
    }
}
