package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.RouteKind;

final class RoutingTest {
    private final Route mBroad = TestFleet.route("host", "/a/", RouteKind.IDEMPOTENT);
    private final Route mNarrow = TestFleet.route("host", "/a/b/", RouteKind.IDEMPOTENT);
    private final Route mOther = TestFleet.route("other", "/a/", RouteKind.IDEMPOTENT);

    @Nested
    final class Table {
        private final RouteTable mTable =
                new RouteTable(TestFleet.document(1, mBroad, mNarrow, mOther));

        @Test
        void shouldChooseTheLongestPrefixOfTheHost() {
            assertThat(mTable.route("host", "/a/b/c")).hasValue(mNarrow);
            assertThat(mTable.route("host", "/a/x")).hasValue(mBroad);
            assertThat(mTable.route("HOST:80", "/a/x")).hasValue(mBroad);
            assertThat(mTable.route("other", "/a/b/c")).hasValue(mOther);
        }

        @Test
        void shouldKnowNoRouteOfOtherHostsAndPaths() {
            assertThat(mTable.route("nobody", "/a/")).isEmpty();
            assertThat(mTable.route("host", "/ab/")).isEmpty();
        }

        @Test
        void shouldFindTheAccountOfAKey() {
            assertThat(mTable.account("key").orElseThrow().name()).isEqualTo("account");
            assertThat(mTable.account("other")).isEmpty();
        }
    }

    @Nested
    final class InForce {
        private final RoutingInForce mInForce = new RoutingInForce(new EventStreams());

        @Test
        void shouldOnlyRise() {
            assertThat(mInForce.offer(TestFleet.document(7, mBroad))).isTrue();
            assertThat(mInForce.offer(TestFleet.document(5, mNarrow))).isFalse();
            assertThat(mInForce.offer(TestFleet.document(7, mNarrow))).isFalse();
            assertThat(mInForce.require().route("host", "/a/b/c")).hasValue(mBroad);
            assertThat(mInForce.version()).isEqualTo(7);
        }
    }
}
