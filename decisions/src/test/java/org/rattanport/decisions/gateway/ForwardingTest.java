package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.ScriptedBackEnds.Reaction;
import org.rattanport.decisions.poison.CrashAttribution;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineMemoryClient;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** Retries after each kind of failed attempt, and the result for the caller. */
final class ForwardingTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final EventStreams mEvents = new EventStreams();
    private final BackEndNotices mNotices = new BackEndNotices(mTime, notice -> {});
    private final BackEndRegistry mRegistry = new BackEndRegistry(mTime, mNotices);
    private final BackEndHealth mHealth = new BackEndHealth(mTime);
    private final ActiveRouting mRouting = new ActiveRouting(mEvents);
    private final ScriptedBackEnds mBackEnds = new ScriptedBackEnds(mTime);
    private final List<Attempt> mAttempts = mBackEnds.attempts();
    private final List<RequestOutcome> mOutcomes = new ArrayList<>();
    private final FakeCaller mCaller = new FakeCaller();
    private int mSlack = 100;

    /** What happens while a back end is chosen. */
    private Runnable mDuringPlacement = () -> {};

    @BeforeEach
    void setUp() {
        List<BackEnd> backEnds = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            backEnds.add(TestFleet.backEnd("call-" + i, TestFleet.CALLS, false));
            backEnds.add(TestFleet.backEnd("engine-" + i, TestFleet.ENGINES, false));
        }
        mRegistry.replace(backEnds);
        mRouting.activateIfNewer(
                TestFleet.document(
                        1,
                        TestFleet.route("host", "/read/", RouteKind.IDEMPOTENT),
                        TestFleet.route("host", "/book/", RouteKind.NON_IDEMPOTENT),
                        TestFleet.route("host", "/stream/", RouteKind.STREAMING)));
        mEvents.stream(RequestOutcome.class).subscribe(mOutcomes::add);
    }

    private GatewayService service() {
        LoadTable loadTable = new LoadTable(mTime);
        Random random = new Random(1);
        BackEndPlacement calls =
                new LeastLoadedPlacement("zone", mRegistry, mHealth, loadTable, random);
        BackEndPlacement delayedCalls =
                query -> {
                    mDuringPlacement.run();
                    return calls.place(query);
                };
        MemoryLeases leases = new MemoryLeases(new GrantingMemoryClient(), mTime);
        ServiceRetryBudget retryBudget =
                new ServiceRetryBudget(mTime, Duration.ofSeconds(10), 0.2, mSlack, () -> 1);
        GatewayComponents components =
                new GatewayComponents(
                        mRouting,
                        mRegistry,
                        mNotices,
                        delayedCalls,
                        delayedCalls,
                        mBackEnds,
                        leases,
                        new OutcomeRecorder(
                                mHealth,
                                new CrashAttribution(mTime, rumor -> {}, rumor -> {}, random)),
                        loadTable,
                        new NoOpWorkNotifier(),
                        retryBudget,
                        mEvents,
                        mTime);
        return new GatewayService(components, random);
    }

    private void serve(String path, Reaction... reactions) {
        mBackEnds.reactions().addAll(List.of(reactions));
        service().serve(TestFleet.request(path, 0), mCaller);
    }

    private RattanportException serveExpectingError(String path, Reaction... reactions) {
        return assertThrows(RattanportException.class, () -> serve(path, reactions));
    }

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

    private static final class NoOpWorkNotifier implements WorkNotifier {
        @Override
        public void decodeStarted(String id) {}

        @Override
        public void ended(String id) {}

        @Override
        public void engineFailed(String id, String engineId, double weight) {}

        @Override
        public Duration remainingPrefill(String id, String engineId) {
            return Duration.ZERO;
        }
    }

    private static final class GrantingMemoryClient implements EngineMemoryClient {
        @Override
        public boolean acquire(
                String address, String id, int tokens, Duration duration, Deadline deadline) {
            return true;
        }

        @Override
        public boolean isReachable(String address, Deadline deadline) {
            return true;
        }

        @Override
        public boolean release(String address, String id, Deadline deadline) {
            return true;
        }
    }
}
