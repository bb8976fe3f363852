package org.rattanport.decisions.gateway;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.DataCentreRegions;
import org.rattanport.kernel.gateway.GatewayAccount;
import org.rattanport.kernel.gateway.Route;

/** The regions where one request may run: those that its route and its account both allow. */
final class RegionRule {
    private final List<Set<String>> mLists;
    private final DataCentreRegions mRegions;

    private RegionRule(List<Set<String>> lists, DataCentreRegions regions) {
        mLists = lists;
        mRegions = regions;
    }

    static RegionRule of(Route route, Optional<GatewayAccount> account, DataCentreRegions regions) {
        List<Set<String>> lists =
                Stream.concat(
                                Stream.of(route.allowedRegions()),
                                account.stream().map(GatewayAccount::allowedRegions))
                        .filter(each -> !each.isEmpty())
                        .toList();
        return new RegionRule(lists, regions);
    }

    /** Whether the request may run at the back end. An unknown region is in no list. */
    boolean allows(BackEnd backEnd) {
        Optional<String> region = mRegions.regionOf(backEnd.dataCentre());
        return mLists.stream().allMatch(list -> region.filter(list::contains).isPresent());
    }
}
