package org.rattanport.decisions.gateway;

import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.BackEndClient;
import org.rattanport.kernel.time.TimeSource;

/** What forwarding a request needs of its instance. */
record GatewayComponents(
        RoutingInForce routing,
        BackEndRegistry registry,
        BackEndPlacement promptPlacement,
        BackEndPlacement servicePlacement,
        BackEndClient client,
        MemoryLeases leases,
        OutcomeRecorder outcomes,
        LoadTable loadTable,
        WorkNotifier workNotifier,
        WorkTracker workTracker,
        ServiceRetryBudget retryBudget,
        EventStreams events,
        TimeSource time) {}
