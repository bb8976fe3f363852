package org.rattanport.decisions.gateway.limits;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.limits.ColdFleet.Choice;
import org.rattanport.decisions.gateway.limits.RateLimitSimulation.Node;

/** Cold back ends before a fleet of instances that want to send them more than they take. */
final class ColdBackEndLimitsTest {
    private static final Duration LONG = Duration.ofMinutes(10);
    private static final double ALLOWED = ColdRule.allowed(ColdFleet.COLD_PER_SECOND);

    /** The engine that the tests make cold. */
    private static final String ENGINE = ColdFleet.id(0);

    /** Runs on, and returns the requests a second that the engine got. */
    private static double rate(ColdFleet cold, int seconds) {
        long before = cold.rule(ENGINE).arrivals();
        cold.run(Duration.ofSeconds(seconds));
        return (double) (cold.rule(ENGINE).arrivals() - before) / seconds;
    }

    private static void assertWithinBound(ColdFleet cold) {
        assertThat((double) cold.mostArrivals()).isAtMost(ALLOWED);
    }

    /** Each instance kept the bound by itself, so that together they sent far more. */
    @Nested
    final class FullDemand {
        @Test
        void shouldStayWithinTheBoundAndUseMostOfTheRate() {
            for (int instances : new int[] {1, 15, 144}) {
                ColdFleet cold = new ColdFleet(1, instances, 150, 6, Choice.FIRST_COLD);
                cold.run(Duration.ofSeconds(3));
                cold.restart(ENGINE, LONG);
                cold.run(Duration.ofSeconds(5));
                assertThat(rate(cold, 30)).isIn(Range.closed(0.8 * 26, 1.1 * 26));
                assertWithinBound(cold);
            }
        }

        /** An owner granted the larger of two limits. */
        @Test
        void shouldStayWithinTheLimitThatTheBackEndNamesIfItIsSmaller() {
            ColdFleet cold = new ColdFleet(2, 15, 150, 1, Choice.FIRST_COLD);
            cold.restart(ENGINE, LONG);
            cold.name(ENGINE, 3);
            cold.run(Duration.ofSeconds(10));
            assertThat(rate(cold, 30)).isIn(Range.closed(0.8 * 3, 1.1 * 3));
        }

        @Test
        void shouldStayWithinTheBoundIfTheBackEndNamesALargerLimit() {
            ColdFleet cold = new ColdFleet(3, 15, 150, 1, Choice.FIRST_COLD);
            cold.restart(ENGINE, LONG);
            cold.name(ENGINE, 100);
            cold.run(Duration.ofSeconds(10));
            assertThat(rate(cold, 30)).isIn(Range.closed(0.8 * 26, 1.1 * 26));
            assertWithinBound(cold);
        }
    }

    /** All requests went to engines that came back cold and idle, or were refused. */
    @Nested
    final class FleetsThatGetBackColdEngines {
        private static final int COLD = 15;
        private static final int ENGINES = 45;

        private ColdFleet fleet(double requestsPerSecond, Choice choice) {
            ColdFleet cold = new ColdFleet(4, 144, requestsPerSecond, ENGINES, choice);
            cold.run(Duration.ofSeconds(5));
            IntStream.range(0, COLD).forEach(i -> cold.restart(ColdFleet.id(i), LONG));
            return cold;
        }

        @Test
        void shouldRefuseNothingAndShareTheRequests() {
            ColdFleet cold = fleet(40, Choice.ANY);
            cold.run(Duration.ofSeconds(2));
            long arrivals = cold.arrivals();
            long coldArrivals = cold.coldArrivals();
            long messages = cold.fleet().messages();
            cold.run(Duration.ofSeconds(30));
            assertThat(cold.refused()).isEqualTo(0);
            double sent = cold.arrivals() - arrivals;
            assertThat(sent).isAtLeast(30 * 40 * 0.9);
            assertThat((cold.coldArrivals() - coldArrivals) / sent)
                    .isIn(Range.closed(0.05, (double) COLD / ENGINES));
            // One round trip for each request to a cold engine.
            assertThat(cold.fleet().messages() - messages).isAtMost((long) (sent * COLD / ENGINES));
            assertWithinBound(cold);
        }

        @Test
        void shouldStayWithinTheBoundWhenAllRequestsWantColdEngines() {
            ColdFleet cold = fleet(600, Choice.FIRST_COLD);
            cold.run(Duration.ofSeconds(15));
            assertThat(cold.refused()).isEqualTo(0);
            assertWithinBound(cold);
        }

        /** Nobody took work that 45 cold engines could take together. */
        @Test
        void shouldUseColdEnginesWhenNoWarmOneIsLeft() {
            ColdFleet cold = fleet(40, Choice.ANY);
            IntStream.range(0, ENGINES).forEach(i -> cold.restart(ColdFleet.id(i), LONG));
            cold.run(Duration.ofSeconds(30));
            assertThat(cold.refused()).isEqualTo(0);
            assertWithinBound(cold);
        }
    }

    /** Owners that changed let more requests through than the bound, or none. */
    @Nested
    final class ChangingOwners {
        private final ColdFleet mCold = new ColdFleet(5, 24, 150, 6, Choice.FIRST_COLD);
        private final RateLimitSimulation mFleet = mCold.fleet();

        private void settle() {
            mCold.run(Duration.ofSeconds(3));
            mCold.restart(ENGINE, LONG);
            mCold.run(Duration.ofSeconds(5));
        }

        private void check() {
            mCold.run(Duration.ofSeconds(20));
            assertThat(rate(mCold, 20)).isAtLeast(0.8 * 26);
            assertWithinBound(mCold);
        }

        @Test
        void shouldKeepTheBoundWhenTheOwnerDies() {
            settle();
            mFleet.kill(mFleet.owner(ENGINE), Duration.ofSeconds(5));
            check();
        }

        @Test
        void shouldKeepTheBoundWhenAFrozenOwnerWakes() {
            for (boolean stopsClock : new boolean[] {true, false}) {
                for (int millis : new int[] {250, 900, 1_500, 3_000, 6_000}) {
                    settle();
                    mFleet.freeze(mFleet.owner(ENGINE), stopsClock, Duration.ofMillis(millis));
                    check();
                }
            }
        }

        @Test
        void shouldKeepTheBoundWhenSomeMessagesOfOrToTheOwnerAreLost() {
            settle();
            Node owner = mFleet.owner(ENGINE);
            List<Node> others =
                    mFleet.nodes().stream().filter(each -> each != owner).limit(12).toList();
            others.forEach(each -> mFleet.cut(each, owner, Duration.ofSeconds(20)));
            check();
            others.forEach(each -> mFleet.cut(owner, each, Duration.ofSeconds(20)));
            check();
        }

        /** Owners of both parts granted tokens until they had heard of each other. */
        @Test
        void shouldKeepTheBoundInBothPartsOfAPartedFleetAndAfterwards() {
            for (int part : new int[] {1, 3, 6, 8, 12}) {
                settle();
                mFleet.part(mFleet.nodes().subList(0, part), Duration.ofSeconds(8));
                check();
            }
        }

        @Test
        void shouldKeepTheBoundWhenMembersJoin() {
            settle();
            for (int i = 0; i < 20; i++) {
                mFleet.join();
                mCold.run(Duration.ofMillis(300));
            }
            check();
        }

        @Test
        void shouldKeepTheBoundWhenInstancesRestart() {
            settle();
            for (Node each : mFleet.nodes()) {
                mFleet.kill(each, Duration.ofMillis(300));
                mCold.run(Duration.ofMillis(700));
            }
            check();
        }
    }

    /** Instances that learned late that a back end is cold, or warm. */
    @Nested
    final class LateKnowledge {
        private final ColdFleet mCold = new ColdFleet(6, 24, 150, 12, Choice.FIRST_COLD);
        private final RateLimitSimulation mFleet = mCold.fleet();

        /** The owner took the back end for warm, and granted each request. */
        @Test
        void shouldNotMatterIfOnlyTheOwnerHasNotHeard() {
            mCold.run(Duration.ofSeconds(3));
            mCold.cutFromStore(mFleet.owner(ENGINE), LONG);
            mCold.restart(ENGINE, LONG);
            mCold.run(Duration.ofSeconds(5));
            assertThat(rate(mCold, 20)).isIn(Range.closed(0.8 * 26, 1.1 * 26));
            assertWithinBound(mCold);
        }

        /** An instance that is cut off sends its own requests only, as to any back end. */
        @Test
        void shouldLeaveRoomForAnInstanceThatHasNotHeard() {
            mCold.run(Duration.ofSeconds(3));
            Node other =
                    mFleet.nodes().stream()
                            .filter(each -> each != mFleet.owner(ENGINE))
                            .findFirst()
                            .orElseThrow();
            mCold.cutFromStore(other, LONG);
            mCold.makeCold(ENGINE, LONG);
            mCold.run(Duration.ofSeconds(30));
            assertWithinBound(mCold);
        }

        @Test
        void shouldStayWithinTheBoundWhenBackEndsBecomeColdAgainAndAgain() {
            mCold.run(Duration.ofSeconds(3));
            for (int i = 0; i < 40; i++) {
                mCold.makeCold(ENGINE, Duration.ofMillis(1_500));
                mCold.run(Duration.ofSeconds(4));
            }
            assertThat(mCold.rule(ENGINE).coldArrivals()).isAtLeast(40);
            assertWithinBound(mCold);
        }

        /** A back end that became warm early was held at the rate of a cold one. */
        @Test
        void shouldEndWithAnEntryThatSaysSo() {
            mCold.restart(ENGINE, LONG);
            mCold.run(Duration.ofSeconds(10));
            mCold.makeCold(ENGINE, Duration.ZERO);
            mCold.run(Duration.ofSeconds(3));
            long messages = mFleet.messages();
            mCold.run(Duration.ofSeconds(10));
            assertThat(mFleet.messages()).isEqualTo(messages);
        }

        /** The bound of the earlier document stayed in force. */
        @Test
        void shouldFollowTheDocument() {
            mCold.restart(ENGINE, LONG);
            mCold.run(Duration.ofSeconds(10));
            mFleet.nodes().forEach(each -> mCold.setColdPerSecond(each, 5));
            mCold.run(Duration.ofSeconds(2));
            assertThat(rate(mCold, 20)).isIn(Range.closed(0.8 * 5, 1.1 * 5));
            mFleet.nodes().forEach(each -> mCold.setColdPerSecond(each, 50));
            mCold.run(Duration.ofSeconds(5));
            assertThat(rate(mCold, 20)).isIn(Range.closed(0.8 * 50, 1.1 * 50));
        }
    }

    /** Instances without an owner sent as they liked, or nothing. */
    @Nested
    final class WithoutAnOwner {
        private static final int ENGINES = 45;

        private ColdFleet isolated() {
            ColdFleet cold = new ColdFleet(7, 144, 300, ENGINES, Choice.ANY);
            cold.run(Duration.ofSeconds(2));
            cold.fleet().nodes().forEach(each -> cold.fleet().part(List.of(each), LONG));
            cold.run(Duration.ofSeconds(6));
            return cold;
        }

        @Test
        void shouldSendFewRequestsWhenNoWarmBackEndIsLeft() {
            ColdFleet cold = isolated();
            IntStream.range(0, ENGINES).forEach(i -> cold.restart(ColdFleet.id(i), LONG));
            cold.run(Duration.ofSeconds(30));
            assertThat(cold.fallbacks()).isAtLeast(30L * ENGINES);
            assertWithinBound(cold);
        }

        @Test
        void shouldSendNothingWhileAWarmBackEndIsLeft() {
            ColdFleet cold = isolated();
            IntStream.range(1, ENGINES).forEach(i -> cold.restart(ColdFleet.id(i), LONG));
            cold.run(Duration.ofSeconds(20));
            assertThat(cold.fallbacks()).isEqualTo(0);
            assertThat(cold.refused()).isEqualTo(0);
        }
    }

    /** Services without a bound paid for the tokens of their cold back ends. */
    @Nested
    final class ServicesWithoutABound {
        @Test
        void shouldCostNoMessagesAndRefuseNothing() {
            ColdFleet cold = new ColdFleet(8, 24, 150, 6, Choice.FIRST_COLD);
            cold.fleet().nodes().forEach(each -> cold.setColdPerSecond(each, 0));
            IntStream.range(0, 6).forEach(i -> cold.restart(ColdFleet.id(i), LONG));
            cold.run(Duration.ofSeconds(20));
            assertThat(cold.fleet().messages()).isEqualTo(0);
            assertThat(cold.refused()).isEqualTo(0);
            assertThat(cold.arrivals()).isAtLeast(20 * 130);
        }
    }

    /** Events in an order that no test above has. */
    @Nested
    final class GeneratedHistories {
        private static final int SEEDS_IN_EACH_BUILD = 40;

        /** Number of seeds to play by hand. */
        private static final String SEEDS_PROPERTY = "rattanport.coldSeeds";

        @Test
        void shouldStayWithinTheBound() {
            int seeds = Integer.getInteger(SEEDS_PROPERTY, SEEDS_IN_EACH_BUILD);
            List<String> failures =
                    IntStream.range(0, seeds)
                            .mapToObj(ColdHistory::new)
                            .map(ColdHistory::play)
                            .flatMap(Optional::stream)
                            .toList();
            assertThat(failures).isEmpty();
        }
    }
}
