package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.ScriptedBackEnds.Reaction;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.DataCentreRegions;
import org.rattanport.kernel.gateway.Evacuations;
import org.rattanport.kernel.gateway.GatewayAccount;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.gateway.RoutingDocument;
import org.rattanport.kernel.gateway.StoreChange.Origin;
import org.rattanport.kernel.gateway.StorePosition;

/** Requests whose route or account allows only some regions. */
final class ForwardingRegionsTest extends ForwardingHarness {
    /** The region of the last data centre is not known. */
    private static final List<String> DATA_CENTRES = List.of("east-1", "east-2", "west-1", "other");

    private static final int REQUESTS = 40;

    private long mVersion = 1;

    @Override
    @BeforeEach
    void setUp() {
        super.setUp();
        mRegions =
                new DataCentreRegions(Map.of("east-1", "east", "east-2", "east", "west-1", "west"));
        mRegistry.replace(
                IntStream.range(0, 8)
                        .boxed()
                        .flatMap(
                                each ->
                                        List.of(
                                                backEnd("call-" + each, TestFleet.CALLS, each),
                                                backEnd("engine-" + each, TestFleet.ENGINES, each))
                                                .stream())
                        .toList());
    }

    private static BackEnd backEnd(String id, String service, int index) {
        return new BackEnd(
                id, 2, service, "10.0.0.2:" + index, DATA_CENTRES.get(index % 4), 8, false);
    }

    private void allow(Set<String> byRoute, Set<String> byAccount) {
        String[] regions = byRoute.toArray(String[]::new);
        RoutingDocument document =
                TestFleet.document(
                        ++mVersion,
                        TestFleet.inRegions(
                                TestFleet.route("host", "/read/", RouteKind.IDEMPOTENT), regions),
                        TestFleet.inRegions(
                                TestFleet.route("host", "/stream/", RouteKind.STREAMING), regions));
        mRouting.activateIfNewer(
                new RoutingDocument(
                        document.version(),
                        document.routes(),
                        document.services(),
                        List.of(
                                new GatewayAccount(
                                        "account", Set.of("key"), OptionalInt.empty(), byAccount)),
                        document.limits()));
    }

    /** The data centres that requests with retries, and resumed streams, reach. */
    private Set<String> reached() {
        for (int i = 0; i < REQUESTS; i++) {
            serve("/read/" + i, Reaction.FAIL, Reaction.RESPOND);
            serve("/stream/" + i, Reaction.BREAK_OFF, Reaction.STREAM);
            mTime.advance(Duration.ofSeconds(10));
        }
        return Set.copyOf(
                mAttempts.stream().map(Attempt::backEnd).map(BackEnd::dataCentre).toList());
    }

    @Nested
    final class ListOfARoute {
        @Test
        void shouldKeepAllAttemptsInItsRegions() {
            allow(Set.of("east"), Set.of());
            assertThat(reached()).containsExactly("east-1", "east-2");
        }

        @Test
        void shouldBindNothingWhenItIsEmpty() {
            allow(Set.of(), Set.of());
            assertThat(reached()).containsExactlyElementsIn(DATA_CENTRES);
        }
    }

    @Nested
    final class ListOfAnAccount {
        @Test
        void shouldKeepAllAttemptsInItsRegions() {
            allow(Set.of(), Set.of("west", "north"));
            assertThat(reached()).containsExactly("west-1");
        }

        @Test
        void shouldBindTogetherWithThatOfTheRoute() {
            allow(Set.of("east", "north"), Set.of("east", "west"));
            assertThat(reached()).containsExactly("east-1", "east-2");
        }
    }

    @Nested
    final class NoAllowedBackEnd {
        private RattanportException refusal() {
            RattanportException error = serveExpectingError("/read/a");
            assertThat(error.code()).isEqualTo(ErrorCode.NO_TARGET);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(mAttempts).isEmpty();
            return error;
        }

        @Test
        void shouldRefuseAtOnceWhenTheListsHaveNothingInCommon() {
            allow(Set.of("east"), Set.of("west"));
            assertThat(refusal()).hasMessageThat().contains("region");
        }

        @Test
        void shouldRefuseWhenOnlyAnUnknownRegionIsLeft() {
            allow(Set.of("other"), Set.of());
            refusal();
        }

        /** The wait of a back end that the request may not use was promised. */
        @Test
        void shouldNotPromiseTheWaitOfAnotherRegion() {
            allow(Set.of("west"), Set.of());
            mRegistry.available(TestFleet.CALLS).stream()
                    .filter(each -> each.dataCentre().equals("west-1"))
                    .forEach(each -> mNotices.recordResponse(each, ScriptedBackEnds.leavingHead()));
            assertThat(refusal().retryAfter().isPresent()).isFalse();
        }

        @Test
        void shouldNameAWaitWhileItsDataCentreIsEvacuated() {
            allow(Set.of("west"), Set.of());
            mEvacuated.record(
                    new Evacuations(new StorePosition(1, 5), Set.of("west-1")), Origin.STORE);
            assertThat(refusal().retryAfter().isPresent()).isTrue();
        }
    }

    @Nested
    final class PrefillEngines {
        /** A coordinator may name an engine that this instance did not exclude. */
        @Test
        void shouldBeInAnAllowedRegionToo() {
            allow(Set.of("east"), Set.of());
            List<BackEnd> west = new ArrayList<>();
            mRegistry.find("engine-2").ifPresent(west::add);
            mPrefillEngines = west;
            assertThat(serveExpectingError("/stream/a").verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(mAttempts).isEmpty();
        }
    }
}
