package org.rattanport.decisions.gateway.limits;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.PeerHub;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.decisions.gateway.limits.RateLimitSimulation.Node;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.RateLimit;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.time.ManualTimeSource;

/** Back ends that name limits, before a fleet of instances that want to send them more. */
final class BackEndRateLimitsTest {
    /** Each of 15 instances kept the limit by itself, so that together they sent far more. */
    @Nested
    final class FullDemand {
        @Test
        void shouldStayWithinTheLimitAndUseMostOfIt() {
            for (int instances : new int[] {1, 15, 60}) {
                for (double limit : new double[] {0.2, 1, 10, 100}) {
                    RateLimitSimulation fleet =
                            new RateLimitSimulation(1, instances, 200.0 / instances);
                    fleet.name(Optional.of(limit));
                    fleet.run(Duration.ofSeconds(10));
                    long from = fleet.now();
                    fleet.run(Duration.ofSeconds(100));
                    assertThat(fleet.worstExcess()).isEmpty();
                    double used = fleet.arrivalsSince(from) / (100 * limit);
                    assertThat(used).isAtLeast(0.8);
                    assertThat(used).isAtMost(1.1);
                }
            }
        }
    }

    /** Bulk requests took the tokens that urgent ones needed. */
    @Nested
    final class Urgencies {
        private static final int URGENT = 1;
        private static final int BULK = 6;

        private final ManualTimeSource mTime = new ManualTimeSource();
        private final PeerHub mHub = new PeerHub();
        private final List<RateLimitInstance> mInstances =
                Stream.of("a", "b").map(this::instance).toList();
        private final BackEnd mBackEnd = TestFleet.backEnd("a", TestFleet.CALLS, false);

        private RateLimitInstance instance(String name) {
            Member self =
                    new Member(
                            new InstanceId(name, 1),
                            name + ":caller",
                            name,
                            "zone",
                            MemberState.ALIVE,
                            0);
            return new RateLimitInstance(mHub.networkOf(name), self, mTime, name.hashCode());
        }

        /** Tries for 60 seconds; returns the requests that each of the two instances sent. */
        private List<Integer> play(double limit, int urgency, int otherUrgency) {
            mInstances.forEach(one -> mInstances.forEach(other -> one.learn(other.self())));
            mInstances.forEach(
                    each ->
                            each.limits()
                                    .recordResponse(
                                            mBackEnd,
                                            ResponseHead.builder(200)
                                                    .rateLimit(RateLimit.of(limit))
                                                    .build(),
                                            ClockReading.now(mTime)));
            int sent = 0;
            int otherSent = 0;
            for (int i = 0; i < 6_000; i++) {
                sent += mInstances.getFirst().limits().tryUse(mBackEnd, urgency) ? 1 : 0;
                otherSent += mInstances.getLast().limits().tryUse(mBackEnd, otherUrgency) ? 1 : 0;
                mTime.advance(Duration.ofMillis(10));
            }
            return List.of(sent, otherSent);
        }

        @Test
        void shouldPreferUrgentRequests() {
            List<Integer> sent = play(2, BULK, URGENT);
            assertThat(sent.getLast()).isAtLeast(3 * sent.getFirst());
            assertThat(sent.getFirst() + sent.getLast()).isAtLeast(96);
        }

        @Test
        void shouldShareTheTokensIfTheyAreEqual() {
            List<Integer> sent = play(2, BULK, BULK);
            assertThat(sent.getFirst()).isAtLeast(36);
            assertThat(sent.getLast()).isAtLeast(36);
            assertThat(sent.getFirst() + sent.getLast()).isAtLeast(96);
        }

        @Test
        void shouldBothBeServedWhenThereAreTokensForAll() {
            List<Integer> sent = play(250, BULK, URGENT);
            assertThat(sent.getFirst()).isAtLeast(5_500);
            assertThat(sent.getLast()).isAtLeast(5_500);
        }
    }

    /** Owners kept the tokens of each back end that ever named a limit. */
    @Nested
    final class ForgottenLimits {
        private final ManualTimeSource mTime = new ManualTimeSource();
        private final RateLimitInstance mInstance = TestFleet.rateLimits(mTime);

        private void name(String id, Optional<RateLimit> limit) {
            BackEnd backEnd = TestFleet.backEnd(id, TestFleet.CALLS, false);
            ResponseHead head = ResponseHead.builder(200).rateLimit(limit).build();
            mInstance.limits().recordResponse(backEnd, head, ClockReading.now(mTime));
            mInstance.limits().tryUse(backEnd, 1);
        }

        @Test
        void shouldLeaveNothingWhenNobodyAsksForTheirTokens() {
            for (int i = 0; i < 20; i++) {
                name("back-end-" + i, RateLimit.of(1));
                mTime.advance(Duration.ofMinutes(3));
            }
            assertThat(mInstance.owner().ownedLimits()).isAtMost(4);
        }
    }

    /** Owners that changed let more requests through than the limit, or none. */
    @Nested
    final class ChangingOwners {
        private final RateLimitSimulation mFleet = new RateLimitSimulation(2, 15, 10);

        private void nameAndSettle(double limit) {
            mFleet.name(Optional.of(limit));
            mFleet.run(Duration.ofSeconds(12));
        }

        /** Runs on, and checks that the limit holds and is used again at the end. */
        private void checkLimit(double limit) {
            mFleet.run(Duration.ofSeconds(20));
            long from = mFleet.now();
            mFleet.run(Duration.ofSeconds(20));
            assertThat(mFleet.worstExcess()).isEmpty();
            assertThat((double) mFleet.arrivalsSince(from)).isAtLeast(0.8 * 20 * limit);
        }

        @Test
        void shouldKeepTheLimitWhenTheOwnerDies() {
            nameAndSettle(5);
            mFleet.kill(mFleet.owner(), Duration.ofSeconds(30));
            checkLimit(5);
        }

        @Test
        void shouldKeepTheLimitWhenAFrozenOwnerWakes() {
            for (boolean stopsClock : new boolean[] {true, false}) {
                nameAndSettle(5);
                mFleet.freeze(mFleet.owner(), stopsClock, Duration.ofSeconds(6));
                checkLimit(5);
            }
        }

        @Test
        void shouldKeepTheLimitWhenAFreezeIsShorterThanTheFailureDetectorTakes() {
            nameAndSettle(5);
            for (int i = 0; i < 5; i++) {
                mFleet.freeze(mFleet.owner(), false, Duration.ofMillis(250));
                mFleet.run(Duration.ofSeconds(2));
            }
            checkLimit(5);
        }

        @Test
        void shouldKeepTheLimitWhenSomeMessagesOfOrToTheOwnerAreLost() {
            nameAndSettle(5);
            Node owner = mFleet.owner();
            List<Node> others =
                    mFleet.nodes().stream().filter(each -> each != owner).limit(7).toList();
            others.forEach(each -> mFleet.cut(each, owner, Duration.ofSeconds(20)));
            checkLimit(5);
            others.forEach(each -> mFleet.cut(owner, each, Duration.ofSeconds(60)));
            checkLimit(5);
        }

        @Test
        void shouldKeepTheLimitInBothPartsOfAPartedFleet() {
            nameAndSettle(5);
            mFleet.part(mFleet.nodes().subList(0, 7), Duration.ofSeconds(30));
            checkLimit(5);
        }

        @Test
        void shouldKeepTheLimitWhenMembersJoin() {
            nameAndSettle(5);
            for (int i = 0; i < 20; i++) {
                mFleet.join();
                mFleet.run(Duration.ofMillis(300));
            }
            checkLimit(5);
        }

        @Test
        void shouldKeepTheLimitWhenInstancesRestartAndForgetIt() {
            nameAndSettle(5);
            for (Node each : mFleet.nodes()) {
                mFleet.kill(each, Duration.ofMillis(300));
                mFleet.run(Duration.ofMillis(700));
            }
            checkLimit(5);
        }
    }

    /** A limit that changed was kept as it was, or an old one came back. */
    @Nested
    final class ChangingLimits {
        private final RateLimitSimulation mFleet = new RateLimitSimulation(3, 15, 10);

        @Test
        void shouldHoldFromThenOnWhenItDrops() {
            mFleet.name(Optional.of(10.0));
            mFleet.run(Duration.ofSeconds(12));
            mFleet.name(Optional.of(0.5));
            mFleet.run(Duration.ofSeconds(30));
            assertThat(mFleet.worstExcess()).isEmpty();
        }

        @Test
        void shouldBeUsedSoonWhenItRises() {
            mFleet.name(Optional.of(0.5));
            mFleet.run(Duration.ofSeconds(30));
            mFleet.name(Optional.of(10.0));
            mFleet.run(Duration.ofSeconds(12));
            long from = mFleet.now();
            mFleet.run(Duration.ofSeconds(10));
            assertThat(mFleet.arrivalsSince(from)).isAtLeast(80);
            assertThat(mFleet.worstExcess()).isEmpty();
        }

        @Test
        void shouldEndWithAResponseWithoutIt() {
            mFleet.name(Optional.of(1.0));
            mFleet.run(Duration.ofSeconds(20));
            mFleet.name(Optional.empty());
            mFleet.run(Duration.ofSeconds(10));
            long from = mFleet.now();
            mFleet.run(Duration.ofSeconds(10));
            assertThat(mFleet.arrivalsSince(from)).isAtLeast(1_200);
        }

        @Test
        void shouldNotConcernALaterRunOfTheBackEnd() {
            mFleet.name(Optional.of(1.0));
            mFleet.run(Duration.ofSeconds(20));
            mFleet.restartBackEnd();
            long from = mFleet.now();
            mFleet.run(Duration.ofSeconds(10));
            assertThat(mFleet.arrivalsSince(from)).isAtLeast(1_200);
        }

        @Test
        void shouldLetABackEndThatWantsNoRequestsComeBack() {
            mFleet.name(Optional.of(0.0));
            mFleet.run(Duration.ofSeconds(60));
            long from = mFleet.now();
            mFleet.run(Duration.ofSeconds(40));
            // One in ten seconds shows whether it takes requests again.
            assertThat(mFleet.arrivalsSince(from)).isIn(Range.closed(3L, 5L));
            assertThat(mFleet.worstExcess()).isEmpty();
            mFleet.name(Optional.empty());
            mFleet.run(Duration.ofSeconds(20));
            long ended = mFleet.now();
            mFleet.run(Duration.ofSeconds(10));
            assertThat(mFleet.arrivalsSince(ended)).isAtLeast(1_200);
        }

        @Test
        void shouldCostNothingWhenNoFleetReachesIt() {
            mFleet.name(Optional.of(1e9));
            mFleet.run(Duration.ofSeconds(10));
            assertThat(mFleet.messages()).isAtMost(2 * mFleet.nodes().size());
            assertThat(mFleet.arrivalsSince(0)).isAtLeast(1_200);
        }
    }

    /** Events in an order that no test above has. */
    @Nested
    final class GeneratedHistories {
        private static final int SEEDS_IN_EACH_BUILD = 40;

        /** Number of seeds to play by hand. */
        private static final String SEEDS_PROPERTY = "rattanport.rateLimitSeeds";

        @Test
        void shouldStayWithinTheLimit() {
            int seeds = Integer.getInteger(SEEDS_PROPERTY, SEEDS_IN_EACH_BUILD);
            List<String> failures =
                    IntStream.range(0, seeds)
                            .mapToObj(RateLimitHistory::new)
                            .map(RateLimitHistory::play)
                            .flatMap(Optional::stream)
                            .toList();
            assertThat(failures).isEmpty();
        }
    }
}
