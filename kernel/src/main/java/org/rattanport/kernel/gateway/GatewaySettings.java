package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a gateway instance, beside those that every instance has.
 *
 * @param addressesAddress where callers ask which instances to use
 * @param readinessAddress where readiness is asked
 * @param metricsAddress where metrics are read; empty to serve none
 * @param memberSeeds addresses of instances that may know the others
 * @param repeatRatio repeated requests allowed for each first one, over all instances
 * @param repeatSlack repeated requests allowed beside these in one window
 * @param repeatWindow span over which repeats are counted
 */
public record GatewaySettings(
        String addressesAddress,
        String readinessAddress,
        Optional<String> metricsAddress,
        List<String> memberSeeds,
        double repeatRatio,
        int repeatSlack,
        Duration repeatWindow) {}
