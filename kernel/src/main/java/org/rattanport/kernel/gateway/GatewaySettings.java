package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a gateway instance, in addition to those that every instance has.
 *
 * @param addressesAddress address of the endpoint that lists the instances for callers
 * @param readinessAddress address of the readiness endpoint
 * @param metricsAddress address of the metrics endpoint; empty to serve no metrics
 * @param memberSeeds peer addresses of instances through which this instance joins the cluster
 * @param repeatRatio retries that the retry budget allows for each first attempt, over all
 *     instances
 * @param repeatSlack retries that the retry budget allows in one window in addition to the ratio
 * @param repeatWindow length of the window in which the retry budget counts attempts
 */
public record GatewaySettings(
        String addressesAddress,
        String readinessAddress,
        Optional<String> metricsAddress,
        List<String> memberSeeds,
        double repeatRatio,
        int repeatSlack,
        Duration repeatWindow) {}
