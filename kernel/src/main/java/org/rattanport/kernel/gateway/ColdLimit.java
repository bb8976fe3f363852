package org.rattanport.kernel.gateway;

import java.time.Duration;

/**
 * Limit of a cold back end, as one instance knows it.
 *
 * @param requestsPerSecond requests a second that the back end takes from all instances together
 * @param left time for which it stays cold
 */
public record ColdLimit(double requestsPerSecond, Duration left) {}
