package org.rattanport.kernel.gateway;

import java.time.Duration;

/**
 * Limits on a caller's requests and connections.
 *
 * @param maxHeaderBytes maximum size of the request line and headers in bytes
 * @param maxBodyBytes maximum size of the body in bytes
 * @param headerTimeout time within which the caller must send the headers
 * @param idleTimeout time after which a connection without a request is closed
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits that apply until a document is active. */
    public static final CallerLimits DEFAULTS =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
