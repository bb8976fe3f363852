package org.rattanport.kernel.gateway;

/**
 * Times at which the caller of one request received its response.
 *
 * @param predictedFirstMillis time to the first event that the last placement predicted, or 0 if it
 *     predicted none
 * @param firstMillis time from the arrival of the request to the first event or whole response that
 *     was forwarded, or 0 if there was none
 * @param longestPauseMillis longest gap between two events
 * @param isLate whether the first event or a gap exceeded the objective of the route
 */
public record AnswerTiming(
        long predictedFirstMillis, long firstMillis, long longestPauseMillis, boolean isLate) {}
