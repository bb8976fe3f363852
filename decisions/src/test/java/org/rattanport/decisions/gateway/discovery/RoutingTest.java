package org.rattanport.decisions.gateway.discovery;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.RouteKind;

final class RoutingTest {
    private final Route mShortPrefix = TestFleet.route("host", "/a/", RouteKind.IDEMPOTENT);
    private final Route mLongPrefix = TestFleet.route("host", "/a/b/", RouteKind.IDEMPOTENT);
    private final Route mOtherHost = TestFleet.route("other", "/a/", RouteKind.IDEMPOTENT);

    @Nested
    final class Table {
        private final RouteTable mTable =
                new RouteTable(TestFleet.document(1, mShortPrefix, mLongPrefix, mOtherHost));

        @Test
        void shouldChooseTheLongestPrefixOfTheHost() {
            assertThat(mTable.route("host", "/a/b/c")).hasValue(mLongPrefix);
            assertThat(mTable.route("host", "/a/x")).hasValue(mShortPrefix);
            assertThat(mTable.route("HOST:80", "/a/x")).hasValue(mShortPrefix);
            assertThat(mTable.route("other", "/a/b/c")).hasValue(mOtherHost);
        }

        @Test
        void shouldReturnEmptyForUnknownHostOrPath() {
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
    final class ActiveDocument {
        private final ActiveRouting mRouting = new ActiveRouting(new EventStreams());

        @Test
        void shouldAcceptOnlyNewerVersions() {
            assertThat(mRouting.activateIfNewer(TestFleet.document(7, mShortPrefix))).isTrue();
            assertThat(mRouting.activateIfNewer(TestFleet.document(5, mLongPrefix))).isFalse();
            assertThat(mRouting.activateIfNewer(TestFleet.document(7, mLongPrefix))).isFalse();
            assertThat(mRouting.require().route("host", "/a/b/c")).hasValue(mShortPrefix);
            assertThat(mRouting.version()).isEqualTo(7);
        }
    }
}
