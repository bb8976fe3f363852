package org.rattanport.kernel.gateway;

import java.util.Map;
import java.util.Optional;

/**
 * The regions in which data centres lie, as far as they are known.
 *
 * @param regions region of each data centre, by its name
 */
public record DataCentreRegions(Map<String, String> regions) {
    /** Returns the region of the data centre; empty if it is not known. */
    public Optional<String> regionOf(String dataCentre) {
        return Optional.ofNullable(regions.get(dataCentre));
    }
}
