package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.ScriptedBackEnds.Reaction;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;

/**
 * Forwarding of prompts that would be late. They have an objective of 300 ms and three seconds, and
 * their callers disconnect after two seconds of silence.
 */
final class ForwardingPostponementTest extends ForwardingHarness {
    private static final Duration DELAY = Duration.ofMillis(400);

    @Nested
    final class PostponedPrompts {
        @Test
        void shouldBeSentAfterTheirDelay() {
            mPostponements.addAll(List.of(DELAY, DELAY));
            long start = mTime.nanoTime();
            serve("/stream/", Reaction.STREAM);
            assertThat(mAttempts).hasSize(1);
            assertThat(mTime.nanoTime() - start).isAtLeast(DELAY.multipliedBy(2).toNanos());
        }

        @Test
        void shouldSayHowLongTheyHaveWaited() {
            mPostponements.add(DELAY);
            serve("/stream/", Reaction.STREAM);
            assertThat(mQueries.getFirst().demand().waited()).isEqualTo(Duration.ZERO);
            assertThat(mQueries.getLast().demand().waited()).isAtLeast(DELAY);
        }

        /** Guards against waits that last until the caller disconnects. */
        @Test
        void shouldNotWaitLongerThanAnAnswerNeedsBeforeTheCallerDisconnects() {
            mPostponements.addAll(Collections.nCopies(4, DELAY));
            serve("/stream/", Reaction.STREAM);
            List<Boolean> mayWait =
                    mQueries.stream().map(query -> query.demand().mayWait()).toList();
            assertThat(mayWait).containsExactly(true, true, true, true, false).inOrder();
        }

        /** Guards against waits that begin anew after each engine that refuses. */
        @Test
        void shouldCountTheWaitsBeforeARefusalToo() {
            mPostponements.add(DELAY);
            serve("/stream/", Reaction.REFUSE, Reaction.STREAM);
            assertThat(mAttempts).hasSize(2);
            assertThat(mQueries.getLast().demand().waited()).isAtLeast(DELAY);
        }

        @Test
        void shouldReachNoEngineOnceTheirCallerHasGone() {
            mPostponements.add(DELAY);
            mDuringPlacement = mCaller.mDisconnect::cancel;
            RattanportException error = serveExpectingError("/stream/");
            assertThat(error.code()).isEqualTo(ErrorCode.CANCELLED);
            assertThat(mAttempts).isEmpty();
        }

        @Test
        void shouldNotBePostponedAgainOnceAnEngineHasFailed() {
            serve("/stream/", Reaction.LOSE_RESPONSE, Reaction.STREAM);
            assertThat(mQueries.getFirst().demand().mayWait()).isTrue();
            assertThat(mQueries.getLast().demand().mayWait()).isFalse();
        }
    }

    @Nested
    final class HopelessPrompts {
        /** Guards against requests that hold an engine until their deadline for nothing. */
        @Test
        void shouldBeRefusedAtOnceAsNotRun() {
            mPredictedFirstEventMillis = 9_000;
            RattanportException error = serveExpectingError("/stream/");
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(error.retryAfter().orElseThrow()).isAtLeast(Duration.ofSeconds(4));
            assertThat(mAttempts).isEmpty();
        }

        /** Guards against refusals of callers with little time, whose prediction is coarse. */
        @Test
        void shouldBeSentIfThePredictionExceedsAShortTimeByLessThanASecond() {
            mDuringPlacement = () -> mTime.advance(Duration.ofMillis(2_700));
            mPredictedFirstEventMillis = 900;
            serve("/stream/", Reaction.STREAM);
            assertThat(mAttempts).hasSize(1);
        }

        @Test
        void shouldBeSentIfAnErrorOfThePredictionCanExplainIt() {
            mPredictedFirstEventMillis = 4_000;
            serve("/stream/", Reaction.STREAM);
            assertThat(mAttempts).hasSize(1);
        }
    }
}
