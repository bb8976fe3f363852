package org.rattanport.kernel.gateway;

/**
 * When the caller of one request had its answer.
 *
 * @param predictedFirstMillis what the last placement predicted for the first event, or 0
 * @param firstMillis time from its arrival to the first event or answer that was passed on, or 0
 * @param longestPauseMillis longest time between two events
 * @param isLate whether either was longer than the route wants
 */
public record AnswerTiming(
        long predictedFirstMillis, long firstMillis, long longestPauseMillis, boolean isLate) {}
