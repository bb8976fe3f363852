package org.rattanport.kernel.gateway;

import java.util.Set;

/**
 * The data centres to whose back ends no requests may be sent.
 *
 * @param position position of the store that they are as of
 * @param dataCentres names of all evacuated data centres
 */
public record Evacuations(StorePosition position, Set<String> dataCentres) {}
