package org.rattanport.decisions.gateway;

import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.decisions.gateway.discovery.EvacuatedDataCentres;
import org.rattanport.decisions.gateway.limits.BackEndNotices;
import org.rattanport.decisions.gateway.limits.BackEndRateLimits;
import org.rattanport.decisions.gateway.placement.BackEndPlacement;
import org.rattanport.decisions.gateway.placement.LoadTable;
import org.rattanport.decisions.gateway.placement.MemoryLeases;
import org.rattanport.decisions.gateway.placement.WorkNotifier;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.BackEndClient;
import org.rattanport.kernel.gateway.DataCentreRegions;
import org.rattanport.kernel.time.TimeSource;

/** Components of the instance that forwarding a request uses. */
record GatewayComponents(
        ActiveRouting routing,
        BackEndRegistry registry,
        EvacuatedDataCentres evacuated,
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
        DataCentreRegions regions,
        EventStreams events,
        TimeSource time) {}
