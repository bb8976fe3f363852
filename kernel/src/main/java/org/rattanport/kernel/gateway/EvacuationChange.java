package org.rattanport.kernel.gateway;

import org.rattanport.kernel.gateway.StoreChange.Origin;

/**
 * Published when this instance begins or ends to keep requests away from a data centre.
 *
 * @param dataCentre name of the data centre
 * @param isEvacuated whether it is evacuated now
 * @param evacuatedCount number of data centres that are evacuated now
 * @param origin where this instance learned it
 */
public record EvacuationChange(
        String dataCentre, boolean isEvacuated, int evacuatedCount, Origin origin) {}
