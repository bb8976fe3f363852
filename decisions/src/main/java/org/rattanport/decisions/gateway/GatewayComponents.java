package org.rattanport.decisions.gateway;

import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.BackEndClient;
import org.rattanport.kernel.time.TimeSource;

/** Components of the instance that forwarding a request uses. */
record GatewayComponents(
        ActiveRouting routing,
        BackEndRegistry registry,
        BackEndNotices notices,
        BackEndRateLimits rateLimits,
        BackEndPlacement promptPlacement,
        BackEndPlacement servicePlacement,
        BackEndClient client,
        MemoryLeases leases,
        OutcomeRecorder outcomes,
        LoadTable loadTable,
        WorkNotifier workNotifier,
        ServiceRetryBudget retryBudget,
        EventStreams events,
        TimeSource time) {}
