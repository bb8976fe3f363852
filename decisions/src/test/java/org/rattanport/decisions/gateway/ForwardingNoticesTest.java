package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.ScriptedBackEnds.Reaction;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;

/** Forwarding to back ends that said that they leave, or asked for a pause. */
final class ForwardingNoticesTest extends ForwardingHarness {
    /** Back ends that said that they leave got requests until the registry said so too. */
    @Nested
    final class LeavingBackEnds {
        @Test
        void shouldGetNoFurtherRequestWhateverTheirResponseWas() {
            List<Reaction> responses =
                    List.of(
                            Reaction.LEAVING,
                            Reaction.LEAVING_REFUSAL,
                            Reaction.LEAVING_ERROR,
                            Reaction.LEAVING_BROKEN_STREAM);
            for (Reaction response : responses) {
                setUp();
                mAttempts.clear();
                String path = response == Reaction.LEAVING_BROKEN_STREAM ? "/stream/" : "/read/";
                serve(path + response, response, Reaction.STREAM);
                mBackEnds.reactions().clear();
                String leaving = mAttempts.getFirst().backEnd().id();
                for (int i = 0; i < 20; i++) {
                    serve(path + response + i, Reaction.STREAM);
                }
                assertThat(
                                mAttempts.stream()
                                        .skip(1)
                                        .filter(each -> each.backEnd().id().equals(leaving))
                                        .toList())
                        .isEmpty();
            }
        }

        @Test
        void shouldBeRefusedAtOnceWhenAllLeave() {
            for (int i = 0; i < 4; i++) {
                serve("/read/" + i, Reaction.LEAVING);
            }
            RattanportException error = serveExpectingError("/read/last");
            assertThat(error.code()).isEqualTo(ErrorCode.NO_TARGET);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(mAttempts).hasSize(4);
        }

        @Test
        void shouldNotBeReachedByARequestThatWasPlacedBefore() {
            mDuringPlacement =
                    () ->
                            mRegistry.available(TestFleet.CALLS).stream()
                                    .limit(3)
                                    .forEach(
                                            each ->
                                                    mNotices.recordResponse(
                                                            each, ScriptedBackEnds.leavingHead()));
            serve("/read/a", Reaction.RESPOND);
            assertThat(mNotices.accepts(mAttempts.getFirst().backEnd())).isTrue();
        }
    }

    /** Back ends that asked for a pause got requests all the same. */
    @Nested
    final class PausingBackEnds {
        @Test
        void shouldGetNoRequestUntilThePauseEnds() {
            serve("/read/a", Reaction.PAUSE, Reaction.RESPOND);
            String pausing = mAttempts.getFirst().backEnd().id();
            mTime.advance(Duration.ofMillis(1_999));
            for (int i = 0; i < 20; i++) {
                serve("/read/" + i, Reaction.RESPOND);
            }
            assertThat(
                            mAttempts.stream()
                                    .skip(1)
                                    .anyMatch(each -> each.backEnd().id().equals(pausing)))
                    .isFalse();
            mTime.advance(Duration.ofMillis(2));
            assertThat(mNotices.accepts(mAttempts.getFirst().backEnd())).isTrue();
        }

        @Test
        void shouldKeepTheirHealth() {
            serve("/read/a", Reaction.PAUSE, Reaction.RESPOND);
            assertThat(mHealth.failureWeight(mAttempts.getFirst().backEnd().id())).isEqualTo(0.0);
        }

        @Test
        void shouldBeRefusedAtOnceWithTheShortestPauseWhenAllPause() {
            RattanportException error =
                    serveExpectingError(
                            "/read/a",
                            Reaction.PAUSE,
                            Reaction.PAUSE,
                            Reaction.PAUSE,
                            Reaction.PAUSE);
            assertThat(error.code()).isEqualTo(ErrorCode.TARGET_REFUSED);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            long retryAfterMillis = error.retryAfter().orElseThrow().toMillis();
            assertThat(retryAfterMillis).isAtLeast(2_000);
            assertThat(retryAfterMillis).isAtMost(2_500);
            assertThat(serveExpectingError("/read/b").retryAfter()).isPresent();
            assertThat(mAttempts).hasSize(4);
        }
    }
}
