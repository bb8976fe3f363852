package org.rattanport.decisions.gateway.limits;

import org.rattanport.kernel.gateway.ColdBound;

/**
 * Divides the requests that the bound allows a cold back end within a second between the owner of
 * its tokens and the instances that reach no owner.
 *
 * <p>Tokens that were granted within {@code 1 s + TOKEN_LIFETIME} may be spent within one second,
 * in addition to those of a full bucket. With the usual 26 requests a second, an overshoot of 1.5
 * and a slack of 5, that is 37.1 of 44 requests; the rest covers instances without an owner and
 * those that have not learned yet that the back end is cold.
 */
record ColdPacing(ColdBound bound) {
    /** Requests that a full bucket holds, and the time whose tokens it holds besides. */
    static final double BURST_REQUESTS = 2;

    static final double BURST_SECONDS = 0.1;

    /** Time in which the tokens are granted that may be spent within one second. */
    private static final double GRANT_SECONDS = 1.25;

    /** Part of the bound that the owner may use up. */
    private static final double OWNER_SHARE = 0.9;

    /** Part of the bound for a second of all instances that reach no owner. */
    private static final double FALLBACK_SHARE = 0.05;

    /** Requests a second that the owner grants. */
    double ownerRate(double requestsPerSecond) {
        double most =
                (OWNER_SHARE * bound.allowed(requestsPerSecond) - BURST_REQUESTS)
                        / (GRANT_SECONDS + BURST_SECONDS);
        return Math.min(requestsPerSecond, most);
    }

    /** Requests a second that instances without an owner send together. */
    double fallbackRate(double requestsPerSecond) {
        return FALLBACK_SHARE * Math.max(0, bound.allowed(requestsPerSecond));
    }
}
