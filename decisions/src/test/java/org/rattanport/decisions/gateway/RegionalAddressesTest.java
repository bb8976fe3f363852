package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.FakeMembership;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.lifecycle.AddressSelector;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.DataCentreRegions;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.peer.MemberState;

/** Instances that callers get for hosts whose routes allow only some regions. */
final class RegionalAddressesTest {
    private final ActiveRouting mRouting = new ActiveRouting(new EventStreams());
    private final FakeMembership mMembership =
            new FakeMembership()
                    .add("east", "east-1", MemberState.ALIVE)
                    .add("west", "west-1", MemberState.ALIVE)
                    .add("north", "north-1", MemberState.ALIVE)
                    .add("south", "south-1", MemberState.SUSPECT)
                    .add("other", "other-1", MemberState.ALIVE);
    private final DataCentreRegions mRegions =
            new DataCentreRegions(
                    Map.of(
                            "east-1", "east",
                            "west-1", "west",
                            "north-1", "north",
                            "south-1", "south"));

    private static Route route(String prefix, String... regions) {
        return TestFleet.inRegions(TestFleet.route("host", prefix, RouteKind.IDEMPOTENT), regions);
    }

    /** All names that callers get in many answers. */
    private Set<String> names(String region, String dataCentre, Route... routes) {
        mRouting.activateIfNewer(TestFleet.document(mRouting.version() + 1, routes));
        Set<String> names = new HashSet<>();
        IntStream.range(0, 50)
                .forEach(
                        seed ->
                                new RegionalAddresses(
                                                new AddressSelector(
                                                        mMembership,
                                                        AddressSelector.AddressCounts.DEFAULTS,
                                                        new Random(seed)),
                                                mRouting,
                                                mRegions)
                                        .addresses("host:80", region, dataCentre)
                                        .forEach(each -> names.add(each.split(":")[0])));
        return names;
    }

    @Nested
    final class HostWithoutLists {
        @Test
        void shouldGetAllInstances() {
            assertThat(names("east", "east-1", route("/a/")))
                    .containsExactly("east", "west", "north", "other");
        }
    }

    @Nested
    final class HostWithLists {
        @Test
        void shouldGetInstancesOfTheCallersRegionAndOfAllowedOnes() {
            assertThat(names("east", "east-1", route("/a/", "west", "south")))
                    .containsExactly("east", "west");
        }

        @Test
        void shouldTakeTheCallersRegionFromItsDataCentre() {
            assertThat(names("", "east-1", route("/a/", "west"))).containsExactly("east", "west");
        }

        @Test
        void shouldGetInstancesThatSuitAllRoutesOfTheHost() {
            assertThat(
                            names(
                                    "south",
                                    "south-1",
                                    route("/a/", "west", "north"),
                                    route("/b/", "north"),
                                    route("/c/")))
                    .containsExactly("north");
        }

        @Test
        void shouldGetInstancesThatSuitOneRouteIfNoneSuitsAll() {
            assertThat(names("south", "south-1", route("/a/", "west"), route("/b/", "north")))
                    .containsExactly("west", "north");
        }

        @Test
        void shouldGetAnyInstanceWhenNoneIsAllowed() {
            assertThat(names("south", "south-1", route("/a/", "south")))
                    .containsExactly("east", "west", "north", "other");
        }
    }
}
