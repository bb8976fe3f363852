package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.ScriptedBackEnds.Reaction;
import org.rattanport.decisions.gateway.limits.ClockReading;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.Evacuations;
import org.rattanport.kernel.gateway.RateLimit;
import org.rattanport.kernel.gateway.RateLimitEvent;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.gateway.StoreChange.Origin;
import org.rattanport.kernel.gateway.StorePosition;

/** Forwarding to back ends that named a rate limit. */
final class ForwardingRateLimitsTest extends ForwardingHarness {
    private void name(BackEnd backEnd) {
        mRateLimits.recordResponse(
                backEnd,
                ResponseHead.builder(200).rateLimit(RateLimit.of(1)).build(),
                ClockReading.now(mTime));
    }

    private List<BackEnd> nameAll() {
        List<BackEnd> backEnds = mRegistry.available(TestFleet.CALLS);
        backEnds.forEach(ForwardingRateLimitsTest.this::name);
        return backEnds;
    }

    private long granted() {
        return mRateLimitInstance.events().stream()
                .filter(each -> each.kind() == RateLimitEvent.Kind.GRANTED)
                .count();
    }

    /** Back ends that named a limit got requests as before. */
    @Nested
    final class LimitedBackEnds {
        @Test
        void shouldGetNoMoreThanTheirLimit() {
            mBackEnds.mRateLimit = Optional.of(new RateLimit(1));
            for (int i = 0; i < 100; i++) {
                tryServing("/read/before/" + i, Reaction.RESPOND);
                mTime.advance(Duration.ofMillis(100));
            }
            mAttempts.clear();
            for (int i = 0; i < 100; i++) {
                tryServing("/read/" + i, Reaction.RESPOND);
                mTime.advance(Duration.ofMillis(100));
            }
            Map<String, Long> arrivals =
                    mAttempts.stream()
                            .collect(
                                    Collectors.groupingBy(
                                            each -> each.backEnd().id(), Collectors.counting()));
            // Ten seconds at one request a second.
            arrivals.values().forEach(each -> assertThat(each).isIn(Range.closed(8L, 12L)));
            assertThat(arrivals).hasSize(4);
        }

        @Test
        void shouldBeRefusedAtOnceWithTheTimeUntilTheNextToken() {
            mBackEnds.mRateLimit = Optional.of(new RateLimit(1));
            for (int i = 0; i < 4; i++) {
                serve("/read/first/" + i, Reaction.RESPOND);
            }
            mAttempts.clear();
            RattanportException error = serveExpectingError("/read/a");
            assertThat(error.code()).isEqualTo(ErrorCode.TARGET_REFUSED);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            // A new owner grants the first token after two seconds.
            assertThat(error.retryAfter().orElseThrow()).isAtLeast(Duration.ofSeconds(2));
            assertThat(error.retryAfter().orElseThrow()).isAtMost(Duration.ofSeconds(4));
            assertThat(mAttempts).isEmpty();
        }

        @Test
        void shouldNotKeepARequestFromTheOnlyFreeBackEnd() {
            List<BackEnd> backEnds =
                    IntStream.range(0, 30)
                            .mapToObj(i -> TestFleet.backEnd("many-" + i, TestFleet.CALLS, false))
                            .toList();
            mRegistry.replace(backEnds);
            backEnds.stream().skip(1).forEach(ForwardingRateLimitsTest.this::name);
            serve("/read/a", Reaction.RESPOND);
            assertThat(mAttempts.getFirst().backEnd().id()).isEqualTo("many-0");
        }

        private void tryServing(String path, Reaction reaction) {
            try {
                serve(path, reaction);
            } catch (RattanportException e) {
                mBackEnds.reactions().clear();
            }
        }
    }

    /** Another reason to keep requests away, and a limit at the same time. */
    @Nested
    final class OtherReasons {
        @Test
        void shouldKeepRequestsFromABackEndThatLeavesWhateverItsLimitGrants() {
            nameAll();
            // The owner of the limits begins to grant tokens.
            serveExpectingError("/read/early");
            mTime.advance(Duration.ofSeconds(5));
            nameAll()
                    .forEach(each -> mNotices.recordResponse(each, ScriptedBackEnds.leavingHead()));
            RattanportException error = serveExpectingError("/read/a");
            assertThat(error.code()).isEqualTo(ErrorCode.NO_TARGET);
            assertThat(granted()).isEqualTo(0);
        }

        @Test
        void shouldAskForNoTokenDuringAPauseAndNameTheLaterEnd() {
            List<BackEnd> backEnds = nameAll();
            serveExpectingError("/read/early");
            Duration pause = Duration.ofSeconds(30);
            backEnds.forEach(
                    each ->
                            mNotices.recordResponse(
                                    each,
                                    ResponseHead.builder(503).pause(Optional.of(pause)).build()));
            RattanportException error = serveExpectingError("/read/a");
            assertThat(error.retryAfter().orElseThrow()).isAtLeast(pause);
            mTime.advance(pause);
            serve("/read/b", Reaction.RESPOND);
            assertThat(granted()).isEqualTo(1);
        }

        @Test
        void shouldLeaveTheHealthOfABackEndAsItIs() {
            List<BackEnd> backEnds = nameAll();
            serveExpectingError("/read/a");
            backEnds.forEach(each -> assertThat(mHealth.failureWeight(each.id())).isEqualTo(0.0));
        }

        @Test
        void shouldTakeNothingFromTheRetryBudget() {
            mSlack = 0;
            nameAll();
            mRegistry.apply(List.of(TestFleet.backEnd("free", TestFleet.CALLS, false)), List.of());
            for (int i = 0; i < 10; i++) {
                serve("/read/" + i, Reaction.RESPOND);
            }
            assertThat(mAttempts).hasSize(10);
        }

        @Test
        void shouldTakeNoTokenForARequestWithoutTime() {
            nameAll();
            serveExpectingError("/read/early");
            mTime.advance(Duration.ofSeconds(10));
            mBackEnds.mDuringConnect = () -> mTime.advance(Duration.ofSeconds(5));
            RattanportException error = serveExpectingError("/read/a");
            assertThat(error.code()).isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
            assertThat(granted()).isEqualTo(0);
        }

        /** The evacuation becomes known while the connection is opened. */
        @Test
        void shouldTakeNoTokenOfAnEvacuatedBackEnd() {
            List<BackEnd> backEnds = nameAll();
            serveExpectingError("/read/early");
            mTime.advance(Duration.ofSeconds(10));
            mBackEnds.mDuringConnect =
                    () ->
                            mEvacuated.record(
                                    new Evacuations(
                                            new StorePosition(1, 5),
                                            Set.of(backEnds.getFirst().dataCentre())),
                                    Origin.STORE);
            RattanportException error = serveExpectingError("/read/a");
            assertThat(error.code()).isEqualTo(ErrorCode.NO_TARGET);
            assertThat(granted()).isEqualTo(0);
        }
    }

    /** Engines with a limit got parts of prompts without a token. */
    @Nested
    final class PrefillEngines {
        private final BackEnd mEngine = TestFleet.backEnd("engine-0", TestFleet.ENGINES, false);

        @Test
        void shouldNeedATokenToo() {
            mPrefillEngines = List.of(mEngine);
            name(mEngine);
            assertThat(serveExpectingError("/read/early").verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(mAttempts).isEmpty();
            mTime.advance(Duration.ofSeconds(10));
            serve("/read/a", Reaction.RESPOND);
            serve("/read/b", Reaction.RESPOND);
            serveExpectingError("/read/c");
            assertThat(mAttempts).hasSize(2);
            assertThat(granted()).isEqualTo(2);
        }
    }
}
