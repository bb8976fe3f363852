package org.rattanport.kernel.gateway;

/**
 * Times at which the caller of one request received its response.
 *
 * @param predictedFirstEventMillis time to the first event that the last placement predicted, or 0
 *     if it predicted none
 * @param firstEventMillis time from the arrival of the request to the first event or whole response
 *     that was forwarded, or 0 if there was none
 * @param longestGapMillis longest gap between two events
 * @param isLate whether the first event or a gap exceeded the objective of the route
 */
public record ResponseTiming(
        long predictedFirstEventMillis,
        long firstEventMillis,
        long longestGapMillis,
        boolean isLate) {}
