package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.ScriptedBackEnds.Reaction;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.BackEnd;

/** Forwarding to back ends that are cold. */
final class ForwardingColdBackEndsTest extends ForwardingHarness {
    private static final Duration COLD_TIME = Duration.ofMinutes(5);

    private final List<BackEnd> mAll =
            List.of("call-0", "call-1", "call-2", "call-3").stream()
                    .map(id -> TestFleet.backEnd(id, TestFleet.CALLS, false))
                    .toList();

    private void makeCold(List<BackEnd> backEnds) {
        mRegistry.apply(
                backEnds.stream().map(each -> each.withColdLeft(COLD_TIME)).toList(), List.of());
    }

    /** Sends requests at a rate; returns how many the back ends got. */
    private int send(int requests, Duration interval) {
        GatewayService service = service();
        mAttempts.clear();
        for (int i = 0; i < requests; i++) {
            mTime.advance(interval);
            try {
                mBackEnds.reactions().add(Reaction.RESPOND);
                service.serve(TestFleet.request("/read/" + i, 0), mCaller);
            } catch (RattanportException e) {
                assertThat(e.verdict()).isEqualTo(Verdict.NOT_RUN);
                mBackEnds.reactions().clear();
            }
        }
        return mAttempts.size();
    }

    @Nested
    final class BoundedServices {
        /** A cold back end got as many requests as a warm one. */
        @Test
        void shouldGiveTheirOnlyBackEndsWhatTheyTakeAndNotMore() {
            mRateLimitInstance.setColdPerSecond(1);
            makeCold(mAll);
            send(100, Duration.ofMillis(100));
            // Ten seconds at one request a second for each of four.
            assertThat(send(100, Duration.ofMillis(100))).isIn(Range.closed(36, 46));
        }

        /** Cold back ends, which look idle, got all requests, or warm ones refused them. */
        @Test
        void shouldGiveColdBackEndsTheirPartAndRefuseNothing() {
            mRateLimitInstance.setColdPerSecond(26);
            makeCold(mAll.subList(0, 2));
            assertThat(send(400, Duration.ofMillis(20))).isEqualTo(400);
            long cold =
                    mAttempts.stream().filter(each -> mRateLimits.isCold(each.backEnd())).count();
            // At most their half, and a quarter while all look alike, less the first second.
            assertThat(cold).isIn(Range.closed(50L, 220L));
        }

        @Test
        void shouldRefuseNothingWhileAWarmBackEndIsLeft() {
            mRateLimitInstance.setColdPerSecond(0.5);
            makeCold(mAll.subList(0, 3));
            assertThat(send(200, Duration.ofMillis(20))).isEqualTo(200);
        }

        /** Requests were held back for the rest of the time although the back ends were warm. */
        @Test
        void shouldSendFreelyOnceTheEntriesSayThatTheyAreWarm() {
            mRateLimitInstance.setColdPerSecond(0.5);
            makeCold(mAll);
            send(50, Duration.ofMillis(100));
            mRegistry.apply(mAll, List.of());
            assertThat(send(50, Duration.ofMillis(1))).isEqualTo(50);
        }
    }

    /** Services without a bound paid for cold back ends. */
    @Nested
    final class ServicesWithoutABound {
        @Test
        void shouldBeServedAsBefore() {
            makeCold(mAll);
            assertThat(send(200, Duration.ofMillis(1))).isEqualTo(200);
            assertThat(mRateLimitInstance.events()).isEmpty();
        }
    }
}
