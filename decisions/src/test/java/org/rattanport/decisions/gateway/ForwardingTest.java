package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanport.decisions.gateway.ScriptedBackEnds.Reaction;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEnd;

/** Retries after each kind of failed attempt, and the result for the caller. */
final class ForwardingTest extends ForwardingHarness {
    @Nested
    final class NonIdempotentCalls {
        @Test
        void shouldTryAnotherBackEndOnlyWhileNotRun() {
            serve("/book/a", Reaction.REFUSE, Reaction.NO_CONNECTION, Reaction.RESPOND);
            assertThat(mCaller.mIsFinished).isTrue();
            assertThat(mAttempts.stream().map(each -> each.backEnd().id()).distinct().count())
                    .isEqualTo(3);
        }

        @Test
        void shouldNotRetryOnceRequestMayHaveRun() {
            for (Reaction reaction :
                    List.of(Reaction.LOSE_RESPONSE, Reaction.UNSIGNED, Reaction.OTHER_ATTEMPT)) {
                mAttempts.clear();
                RattanportException error = serveExpectingError("/book/a", reaction);
                assertThat(error.verdict()).isNotEqualTo(Verdict.NOT_RUN);
                assertThat(mAttempts).hasSize(1);
            }
        }

        @Test
        void shouldNotTakeTheRefusalOfAnotherAttemptForNotRun() {
            RattanportException error =
                    serveExpectingError("/book/a", Reaction.REFUSE_OTHER_ATTEMPT);
            assertThat(error.verdict()).isNotEqualTo(Verdict.NOT_RUN);
            assertThat(mAttempts).hasSize(1);
        }

        /** The caller was told that nothing had run by a status of the back end. */
        @Test
        void shouldNotPassOnARefusalThatDoesNotPromiseThatNothingRan() {
            RattanportException error =
                    serveExpectingError("/book/a", Reaction.REFUSE_WITHOUT_PROMISE);
            assertThat(error.verdict()).isNotEqualTo(Verdict.NOT_RUN);
            assertThat(error.code()).isEqualTo(ErrorCode.TARGET_FAILED);
            assertThat(mAttempts).hasSize(1);
            assertThat(mCaller.mStartCount).isEqualTo(0);
        }

        @Test
        void shouldNotRetryAfterRefusalAndLostResponse() {
            RattanportException error =
                    serveExpectingError("/book/a", Reaction.REFUSE, Reaction.LOSE_RESPONSE);
            assertThat(error.verdict()).isNotEqualTo(Verdict.NOT_RUN);
            assertThat(mAttempts).hasSize(2);
        }

        @Test
        void shouldRelayBackEndFailure() {
            serve("/book/a", Reaction.FAIL);
            assertThat(mCaller.mStatus).isEqualTo(500);
            assertThat(mAttempts).hasSize(1);
        }

        @Test
        void shouldReportNotRunWhenEveryBackEndRefuses() {
            RattanportException error =
                    serveExpectingError(
                            "/book/a",
                            Reaction.REFUSE,
                            Reaction.REFUSE,
                            Reaction.REFUSE,
                            Reaction.REFUSE);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(error.retryAfter()).isPresent();
        }
    }

    @Nested
    final class IdempotentCalls {
        @Test
        void shouldNotExceedMaxAttemptsOfRoute() {
            serveExpectingError("/read/a", Reaction.LOSE_RESPONSE, Reaction.LOSE_RESPONSE);
            assertThat(mAttempts).hasSize(2);
            assertThat(mOutcomes.getFirst().possibleRuns()).isEqualTo(2);
        }

        @Test
        void shouldRelayResponseOfSecondBackEnd() {
            serve("/read/a", Reaction.FAIL, Reaction.RESPOND);
            assertThat(mCaller.mStatus).isEqualTo(200);
        }

        @Test
        void shouldAbandonSilentBackEndWhileRetryIsAllowed() {
            serve("/read/a", Reaction.SILENT, Reaction.RESPOND);
            assertThat(mCaller.mStatus).isEqualTo(200);
            assertThat(mAttempts.get(1).remainingTime())
                    .isLessThan(mAttempts.get(0).remainingTime());
        }

        @Test
        void shouldNotRetryBeyondBudget() {
            mSlack = 0;
            serveExpectingError("/read/a", Reaction.LOSE_RESPONSE);
            assertThat(mAttempts).hasSize(1);
        }

        @Test
        void shouldNotChargeBudgetForUnreachableBackEnds() {
            mSlack = 0;
            serve("/read/a", Reaction.NO_CONNECTION, Reaction.NO_CONNECTION, Reaction.RESPOND);
            assertThat(mCaller.mStatus).isEqualTo(200);
        }
    }

    @Nested
    final class Streams {
        @Test
        void shouldResumeElsewhereAfterSilenceButWaitForLastEngine() {
            serve("/stream/a", Reaction.STALL, Reaction.STALL);
            assertThat(mAttempts).hasSize(2);
            assertThat(mAttempts.get(1).lastEventId()).hasValue("1");
            assertThat(mCaller.mIsAborted).isFalse();
            assertThat(mCaller.mIsFinished).isTrue();
            assertThat(mCaller.mBody.toString().lines().filter(each -> each.startsWith("id")))
                    .containsExactly("id: 1", "id: 2", "id: 3")
                    .inOrder();
        }

        /** Only the route ended the wait for the first event of an engine that had sent a head. */
        @Test
        void shouldGoOnElsewhereAfterSilenceBetweenHeadAndFirstEvent() {
            serve("/stream/a", Reaction.STALL_AFTER_HEAD, Reaction.STALL_AFTER_HEAD);
            assertThat(mAttempts).hasSize(2);
            assertThat(mAttempts.get(1).remainingTime()).isAtLeast(Duration.ofSeconds(1));
            assertThat(mCaller.mIsFinished).isTrue();
            assertThat(mCaller.mBody.toString()).isEqualTo("id: 1\ndata: x\n\n");
        }

        /** Each byte of an event that never ended began the wait for the next event anew. */
        @Test
        void shouldGoOnElsewhereWhenBytesCompleteNoEvent() {
            serve("/stream/a", Reaction.TRICKLE, Reaction.STREAM);
            assertThat(mAttempts).hasSize(2);
            assertThat(mCaller.mIsFinished).isTrue();
            assertThat(mCaller.mBody.toString()).isEqualTo("id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        }
    }

    @Nested
    final class ResumedStreams {
        /** After an error that broke off, the stream began again at its first event. */
        @Test
        void shouldKeepThePlaceOfTheCallerAfterABrokenError() {
            mBackEnds.reactions().addAll(List.of(Reaction.FAIL_BROKEN_OFF, Reaction.STREAM));
            service().serve(TestFleet.resumingRequest("/stream/a", "12"), mCaller);
            assertThat(mAttempts.stream().map(Attempt::lastEventId).toList())
                    .containsExactly(Optional.of("12"), Optional.of("12"));
            assertThat(mCaller.mBody.toString()).startsWith("id: 13");
        }
    }

    @Nested
    final class BrokenStreams {
        private static final String FIRST_EVENT = "id: 1\ndata: x\n\n";

        @Test
        void shouldNotContinueWithTheErrorOfTheNextEngine() {
            for (Reaction next : List.of(Reaction.FAIL, Reaction.REFUSE, Reaction.TEXT)) {
                mCaller.mBody.setLength(0);
                mCaller.mIsAborted = false;
                mBackEnds.reactions().clear();
                List<Reaction> reactions = new ArrayList<>(List.of(Reaction.BREAK_OFF));
                reactions.addAll(Collections.nCopies(3, next));
                serve("/stream/a", reactions.toArray(Reaction[]::new));
                assertThat(mCaller.mBody.toString()).isEqualTo(FIRST_EVENT);
                assertThat(mCaller.mIsFinished).isFalse();
                assertThat(mCaller.mIsAborted).isTrue();
            }
        }

        @Test
        void shouldNotBeCompleteWhenTheyEndInsideAnEvent() {
            serve("/stream/a", Reaction.END_INSIDE_EVENT, Reaction.LOSE_RESPONSE);
            assertThat(mCaller.mBody.toString()).isEqualTo(FIRST_EVENT);
            assertThat(mCaller.mIsFinished).isFalse();
            assertThat(mCaller.mIsAborted).isTrue();
        }

        @Test
        void shouldGoOnElsewhereWhenTheyEndInsideAnEvent() {
            serve("/stream/a", Reaction.END_INSIDE_EVENT, Reaction.STREAM);
            assertThat(mCaller.mBody.toString()).isEqualTo(FIRST_EVENT + "id: 2\ndata: x\n\n");
            assertThat(mCaller.mIsFinished).isTrue();
        }

        @Test
        void shouldEndWhenTheyNeverCompleteAnEvent() {
            serve("/stream/a", Reaction.ENDLESS, Reaction.LOSE_RESPONSE);
            assertThat(mCaller.mBody.toString()).isEqualTo(FIRST_EVENT);
            assertThat(mCaller.mIsAborted).isTrue();
        }

        @Test
        void shouldNotBeCompleteWhenNoEventCame() {
            RattanportException error =
                    serveExpectingError("/stream/a", Reaction.TEXT, Reaction.TEXT);
            assertThat(error.verdict()).isNotEqualTo(Verdict.NOT_RUN);
            assertThat(mCaller.mBody.toString()).isEmpty();
        }
    }

    @Nested
    final class LongPlainResponses {
        /** The whole response of the next back end was appended to the part that the caller had. */
        @Test
        void shouldNotBeFollowedByTheResponseOfAnotherBackEnd() {
            serve("/read/a", Reaction.LONG_BREAK_OFF, Reaction.RESPOND);
            assertThat(mAttempts).hasSize(1);
            assertThat(mCaller.mStartCount).isEqualTo(1);
            assertThat(mCaller.mIsFinished).isFalse();
            assertThat(mCaller.mIsAborted).isTrue();
        }
    }

    @Nested
    final class LateAttempts {
        @Test
        void shouldNotBeSentAfterTheDeadlinePassedDuringPlacement() {
            mDuringPlacement = () -> mTime.advance(Duration.ofSeconds(4));
            RattanportException error = serveExpectingError("/stream/a");
            assertThat(error.code()).isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(mAttempts).isEmpty();
        }

        @Test
        void shouldNotBeSentAfterTheCallerLeftDuringPlacement() {
            mDuringPlacement = mCaller.mDisconnect::cancel;
            RattanportException error = serveExpectingError("/stream/a");
            assertThat(error.code()).isEqualTo(ErrorCode.CANCELLED);
            assertThat(mAttempts).isEmpty();
        }

        @Test
        void shouldNotBeSentAfterTheCallerLeftDuringTheConnect() {
            mBackEnds.mDuringConnect = mCaller.mDisconnect::cancel;
            RattanportException error = serveExpectingError("/stream/a");
            assertThat(error.code()).isEqualTo(ErrorCode.CANCELLED);
            assertThat(mAttempts).isEmpty();
        }

        @Test
        void shouldNotBeSentWithTooLittleTimeLeftForAnyResponse() {
            mDuringPlacement = () -> mTime.advance(Duration.ofMillis(2_990));
            RattanportException error = serveExpectingError("/read/a");
            assertThat(error.code()).isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
            assertThat(mAttempts).isEmpty();
        }
    }

    /** Back ends whose entries change after they were chosen. */
    @Nested
    final class LeavingBackEnds {
        private void drainAllButOne(String service, boolean isRemoved) {
            if (mRegistry.available(service).size() == 1) {
                return;
            }
            List<BackEnd> leaving =
                    mRegistry.available(service).stream()
                            .sorted(Comparator.comparing(BackEnd::id))
                            .limit(3)
                            .toList();
            if (isRemoved) {
                mRegistry.apply(List.of(), leaving.stream().map(BackEnd::id).toList());
            } else {
                mRegistry.apply(
                        leaving.stream()
                                .map(each -> TestFleet.backEnd(each.id(), service, true))
                                .toList(),
                        List.of());
            }
        }

        /** A back end was reached long after the instance had learned that it leaves. */
        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void shouldNotGetARequestWhoseConnectionTookLonger(boolean isRemoved) {
            mBackEnds.mDuringConnect = () -> drainAllButOne(TestFleet.CALLS, isRemoved);
            serve("/book/a", Reaction.RESPOND, Reaction.RESPOND);
            assertThat(mAttempts.stream().map(each -> each.backEnd().id()))
                    .containsExactly("call-3");
        }

        /** An engine that leaves was asked to prefill a part of a prompt. */
        @Test
        void shouldNotGetTheirPartOfAPrompt() {
            mPrefillEngines = List.of(TestFleet.backEnd("engine-0", TestFleet.ENGINES, false));
            mBackEnds.mDuringConnect =
                    () -> {
                        drainAllButOne(TestFleet.ENGINES, false);
                        mPrefillEngines = List.of();
                    };
            serve("/stream/a", Reaction.STREAM);
            assertThat(mAttempts.getFirst().prefillEngines()).isEmpty();
        }
    }

    /** Requests that were cut at a planned stop ended without a response. */
    @Nested
    final class CutRequests {
        @Test
        void shouldEndWithAnErrorBeforeTheirResponse() {
            mBackEnds.mWhileWaiting = mCaller.mCut::cancel;
            RattanportException error = serveExpectingError("/book/a", Reaction.CUT);
            assertThat(error.code()).isEqualTo(ErrorCode.STOPPING);
            assertThat(error.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            assertThat(mCaller.mIsAborted).isFalse();
        }

        @Test
        void shouldBeAbortedInsideTheirResponse() {
            mBackEnds.mWhileWaiting = mCaller.mCut::cancel;
            serve("/stream/a", Reaction.CUT_IN_STREAM);
            assertThat(mCaller.mBody.toString()).isEqualTo("id: 1\ndata: x\n\n");
            assertThat(mCaller.mIsAborted).isTrue();
            assertThat(mCaller.mIsFinished).isFalse();
            assertThat(mAttempts).hasSize(1);
        }

        @Test
        void shouldNotBeSentAfterTheCut() {
            mDuringPlacement = mCaller.mCut::cancel;
            RattanportException error = serveExpectingError("/book/a");
            assertThat(error.code()).isEqualTo(ErrorCode.STOPPING);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(mAttempts).isEmpty();
        }
    }

    @Nested
    final class CancelledAttempts {
        /** The log said of a request that was sent to a back end that it had not run. */
        @Test
        void shouldBeSaidToHavePossiblyRunWhenTheCallerLeaves() {
            mBackEnds.mWhileWaiting = mCaller.mDisconnect::cancel;
            serveExpectingError("/book/a", Reaction.CUT);
            assertThat(mOutcomes.getFirst().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }

        /** The attempt's end was taken for that of the caller. */
        @Test
        void shouldBeSaidToHavePossiblyRunWhileTheCallerIsThere() {
            RattanportException error = serveExpectingError("/book/a", Reaction.CUT);
            assertThat(error.code()).isEqualTo(ErrorCode.CANCELLED);
            assertThat(error.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        }
    }

    @Nested
    final class PoisonRequests {
        @Test
        void shouldRefuseAfterThirdEngineDeath() {
            GatewayService service = service();
            for (int i = 0; i < 2; i++) {
                mBackEnds
                        .reactions()
                        .addAll(List.of(Reaction.LOSE_RESPONSE, Reaction.LOSE_RESPONSE));
                assertThrows(
                        RattanportException.class,
                        () -> service.serve(TestFleet.request("/read/p", 0), mCaller));
            }
            int attemptsBefore = mAttempts.size();
            RattanportException error =
                    assertThrows(
                            RattanportException.class,
                            () -> service.serve(TestFleet.request("/read/p", 0), mCaller));
            assertThat(error.code()).isEqualTo(ErrorCode.POISON_REQUEST);
            assertThat(mAttempts).hasSize(attemptsBefore);
        }
    }

    @Nested
    final class CrashingPromptParts {
        private final GatewayService mService = service();
        private int mSent;

        @Test
        void shouldNotReachEnginesOnceEnginesCrashedOnOneOfTheirParts() {
            serveWith(List.of("companion"), Reaction.STREAM);
            fail(List.of("companion", "deadly"), Reaction.LOSE_RESPONSE, Reaction.LOSE_RESPONSE);
            fail(List.of("companion", "deadly"), Reaction.LOSE_RESPONSE, Reaction.LOSE_RESPONSE);
            mTime.advance(Duration.ofSeconds(3));
            int attemptsBefore = mAttempts.size();
            ErrorCode code =
                    fail(
                            List.of("deadly", "other"),
                            Reaction.LOSE_RESPONSE,
                            Reaction.LOSE_RESPONSE);
            assertThat(code).isEqualTo(ErrorCode.POISON_REQUEST);
            assertThat(mAttempts).hasSize(attemptsBefore);
        }

        private ErrorCode fail(List<String> parts, Reaction... reactions) {
            return assertThrows(RattanportException.class, () -> serveWith(parts, reactions))
                    .code();
        }

        private void serveWith(List<String> parts, Reaction... reactions) {
            mBackEnds.reactions().clear();
            mBackEnds.reactions().addAll(List.of(reactions));
            mSent++;
            mService.serve(TestFleet.request("/stream/" + mSent, parts), mCaller);
        }
    }
}
