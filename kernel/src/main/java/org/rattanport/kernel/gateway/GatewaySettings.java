package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a gateway instance, in addition to those that every instance has.
 *
 * @param discoveryAddress address of the endpoint that lists the instances for callers
 * @param readinessAddress address of the readiness endpoint
 * @param metricsAddress address of the metrics endpoint; empty to serve no metrics
 * @param memberSeeds peer addresses of instances through which this instance joins the cluster
 * @param retryBudgetRatio retries that the retry budget allows for each first attempt, over all
 *     instances
 * @param retryBudgetSlack retries that the retry budget allows in one window in addition to the
 *     ratio
 * @param retryBudgetWindow length of the window in which the retry budget counts attempts
 * @param capacityMillicores processor capacity of the machine, in thousandths of a core
 * @param isFirstStart whether the whole system starts for the first time
 * @param regions regions of the data centres
 * @param coldBound requests that a cold back end may get within any second
 */
public record GatewaySettings(
        String discoveryAddress,
        String readinessAddress,
        Optional<String> metricsAddress,
        List<String> memberSeeds,
        double retryBudgetRatio,
        int retryBudgetSlack,
        Duration retryBudgetWindow,
        int capacityMillicores,
        boolean isFirstStart,
        DataCentreRegions regions,
        ColdBound coldBound) {}
