package org.rattanport.decisions.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.lifecycle.AddressSelector;
import org.rattanport.kernel.gateway.DataCentreRegions;
import org.rattanport.kernel.gateway.Route;

/**
 * Selects the instances that a caller gets for a host. If routes of the host allow only some
 * regions, the instances are in the caller's region or in an allowed one, while any such is alive.
 */
public final class RegionalAddresses {
    private final AddressSelector mSelector;
    private final ActiveRouting mRouting;
    private final DataCentreRegions mRegions;

    public RegionalAddresses(
            AddressSelector selector, ActiveRouting routing, DataCentreRegions regions) {
        mSelector = selector;
        mRouting = routing;
        mRegions = regions;
    }

    /** Returns addresses for a caller; its host, region and data centre may be unknown. */
    public List<String> addresses(String host, String region, String dataCentre) {
        List<Set<String>> lists = regionLists(host);
        if (lists.isEmpty()) {
            return mSelector.addresses(dataCentre);
        }
        String callerRegion = region.isEmpty() ? mRegions.regionOf(dataCentre).orElse("") : region;
        // Instances that suit all routes of the host are better than those that suit one.
        for (Set<String> allowed : List.of(common(lists), all(lists))) {
            allowed.add(callerRegion);
            List<String> found =
                    mSelector.addresses(
                            dataCentre,
                            member ->
                                    mRegions.regionOf(member.dataCentre())
                                            .filter(allowed::contains)
                                            .isPresent());
            if (!found.isEmpty()) {
                return found;
            }
        }
        return mSelector.addresses(dataCentre);
    }

    private List<Set<String>> regionLists(String host) {
        return mRouting.current().stream()
                .flatMap(table -> table.routes(host).stream())
                .map(Route::allowedRegions)
                .filter(each -> !each.isEmpty())
                .toList();
    }

    private static Set<String> common(List<Set<String>> lists) {
        Set<String> regions = new HashSet<>(lists.getFirst());
        lists.forEach(regions::retainAll);
        return regions;
    }

    private static Set<String> all(List<Set<String>> lists) {
        Set<String> regions = new HashSet<>();
        lists.forEach(regions::addAll);
        return regions;
    }
}
