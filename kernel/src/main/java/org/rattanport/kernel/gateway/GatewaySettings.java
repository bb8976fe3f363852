package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.List;

/**
 * Settings of a gateway instance, beside those that every instance has.
 *
 * @param addressesAddress where callers ask which instances to use
 * @param readinessAddress where readiness is asked
 * @param memberSeeds addresses of instances that may know the others
 * @param hardStop time between the signal to stop and the forced end
 * @param backEndsGone time from the leaving of a back end to the last request sent there
 * @param repeatRatio repeated requests allowed for each first one, over all instances
 * @param repeatSlack repeated requests allowed beside these in one window
 * @param repeatWindow span over which repeats are counted
 * @param longestHold longest lease of engine memory
 */
public record GatewaySettings(
        String addressesAddress,
        String readinessAddress,
        List<String> memberSeeds,
        Duration hardStop,
        Duration backEndsGone,
        double repeatRatio,
        int repeatSlack,
        Duration repeatWindow,
        Duration longestHold) {}
