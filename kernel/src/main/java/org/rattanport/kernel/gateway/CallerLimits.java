package org.rattanport.kernel.gateway;

import java.time.Duration;

/**
 * Bounds on what a caller may send.
 *
 * @param headerBytes longest request line and headers
 * @param bodyBytes longest body
 * @param headerTimeout time for sending the headers
 * @param idleTimeout time that a connection may stay without a request
 */
public record CallerLimits(
        int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits before any document is in force. */
    public static final CallerLimits DEFAULTS =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
