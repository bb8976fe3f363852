package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.poison.CrashAttribution;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndClient;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.EngineMemoryClient;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** Retries after each kind of failed attempt, and the result for the caller. */
final class ForwardingTest {
    /** How a back end reacts to the next attempt. */
    private enum Reaction {
        RESPOND,
        REFUSE,
        NO_CONNECTION,
        LOSE_RESPONSE,
        FAIL,
        UNSIGNED,
        OTHER_ATTEMPT,
        REFUSE_OTHER_ATTEMPT,
        SILENT,
        /** Streams one event. */
        STREAM,
        /** Streams one event and breaks off. */
        BREAK_OFF,
        /** Streams one event and a part of the next, and ends as if it were complete. */
        END_INSIDE_EVENT,
        /** Succeeds with text that is no event. */
        TEXT,
        /** Streams one event and then bytes without end that complete no event. */
        ENDLESS,
        /** Streams one event, stalls, and streams the next. */
        STALL
    }

    private static final byte[] ENDLESS_CHUNK = "x".repeat(8_192).getBytes(StandardCharsets.UTF_8);

    /** Bytes of one response that an instance may keep in memory. */
    private static final int MAX_ENDLESS_BYTES = 1_048_576;

    private static final Duration STALL_DURATION = Duration.ofMillis(1_500);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final EventStreams mEvents = new EventStreams();
    private final BackEndRegistry mRegistry = new BackEndRegistry(mTime);
    private final BackEndHealth mHealth = new BackEndHealth(mTime);
    private final ActiveRouting mRouting = new ActiveRouting(mEvents);
    private final Deque<Reaction> mReactions = new ArrayDeque<>();
    private final List<Attempt> mAttempts = new ArrayList<>();
    private final List<RequestOutcome> mOutcomes = new ArrayList<>();
    private final FakeCaller mCaller = new FakeCaller();
    private int mSlack = 100;
    private int mEndlessBytes;

    /** What happens while the connection to a back end is opened. */
    private Runnable mDuringConnect = () -> {};

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
                        delayedCalls,
                        delayedCalls,
                        new ScriptedClient(),
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
        mReactions.addAll(List.of(reactions));
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
                mReactions.clear();
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
            mDuringConnect = mCaller.mDisconnect::cancel;
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

    @Nested
    final class PoisonRequests {
        @Test
        void shouldRefuseAfterThirdEngineDeath() {
            GatewayService service = service();
            for (int i = 0; i < 2; i++) {
                mReactions.addAll(List.of(Reaction.LOSE_RESPONSE, Reaction.LOSE_RESPONSE));
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
            mReactions.clear();
            mReactions.addAll(List.of(reactions));
            mSent++;
            mService.serve(TestFleet.request("/stream/" + mSent, parts), mCaller);
        }
    }

    /** Reacts to each attempt as scripted. */
    private final class ScriptedClient implements BackEndClient {
        @Override
        public BackEndExchange send(
                Attempt attempt, Deadline connectDeadline, Runnable beforeWriting) {
            mDuringConnect.run();
            beforeWriting.run();
            mAttempts.add(attempt);
            Reaction reaction = mReactions.removeFirst();
            if (reaction == Reaction.NO_CONNECTION) {
                throw new RattanportException(ErrorCode.TARGET_FAILED, "no connection");
            }
            return new ScriptedExchange(attempt, reaction);
        }
    }

    private final class ScriptedExchange implements BackEndExchange {
        private final Attempt mAttempt;
        private final Reaction mReaction;
        private int mChunks;

        private ScriptedExchange(Attempt attempt, Reaction reaction) {
            mAttempt = attempt;
            mReaction = reaction;
        }

        @Override
        public ResponseHead awaitHead(Deadline deadline) {
            return switch (mReaction) {
                case LOSE_RESPONSE -> throw failure(ErrorCode.TARGET_FAILED);
                case SILENT -> {
                    mTime.advance(deadline.remaining(mTime));
                    throw failure(ErrorCode.DEADLINE_EXCEEDED);
                }
                case REFUSE, REFUSE_OTHER_ATTEMPT -> responseHead(503, true, false);
                case FAIL -> responseHead(500, false, true);
                case UNSIGNED -> responseHead(200, false, false);
                default -> responseHead(200, false, true);
            };
        }

        private ResponseHead responseHead(int status, boolean isNotRun, boolean isSigned) {
            boolean isForeign =
                    mReaction == Reaction.OTHER_ATTEMPT
                            || mReaction == Reaction.REFUSE_OTHER_ATTEMPT;
            String id = isForeign ? "other" : mAttempt.request().attemptId();
            return new ResponseHead(
                    status,
                    List.of(),
                    Optional.of(id),
                    isSigned,
                    isNotRun,
                    false,
                    false,
                    Optional.empty(),
                    Optional.empty());
        }

        private static RattanportException failure(ErrorCode code) {
            return RattanportException.builder(code, "scripted")
                    .verdict(Verdict.MAY_HAVE_RUN)
                    .build();
        }

        @Override
        public Optional<byte[]> awaitChunk(Deadline deadline) {
            mChunks++;
            if (mReaction == Reaction.ENDLESS && mChunks > 1) {
                mEndlessBytes += ENDLESS_CHUNK.length;
                assertThat(mEndlessBytes).isLessThan(MAX_ENDLESS_BYTES);
                return Optional.of(ENDLESS_CHUNK);
            }
            if (mReaction == Reaction.BREAK_OFF && mChunks > 1) {
                throw failure(ErrorCode.TARGET_FAILED);
            }
            int chunkCount =
                    switch (mReaction) {
                        case STALL -> 2;
                        case STREAM, BREAK_OFF, END_INSIDE_EVENT, TEXT, FAIL, ENDLESS -> 1;
                        default -> 0;
                    };
            if (mChunks > chunkCount) {
                return Optional.empty();
            }
            if (mReaction == Reaction.TEXT || mReaction == Reaction.FAIL) {
                return Optional.of("error text".getBytes(StandardCharsets.UTF_8));
            }
            if (mChunks == 2) {
                stall(deadline);
            }
            int last = mAttempt.lastEventId().map(Integer::parseInt).orElse(0);
            String event = "id: " + (last + mChunks) + "\ndata: x\n\n";
            if (mReaction == Reaction.END_INSIDE_EVENT) {
                event += "id: " + (last + 2) + "\nda";
            }
            return Optional.of(event.getBytes(StandardCharsets.UTF_8));
        }

        private void stall(Deadline deadline) {
            Duration remaining = deadline.remaining(mTime);
            if (remaining.compareTo(STALL_DURATION) < 0) {
                mTime.advance(remaining);
                throw failure(ErrorCode.DEADLINE_EXCEEDED);
            }
            mTime.advance(STALL_DURATION);
        }

        @Override
        public void abort() {}

        @Override
        public void close() {}
    }

    private static final class FakeCaller implements CallerExchange {
        private final Cancellation mDisconnect = new Cancellation();
        private int mStatus;
        private final StringBuilder mBody = new StringBuilder();
        private boolean mIsFinished;
        private boolean mIsAborted;

        @Override
        public Cancellation disconnectSignal() {
            return mDisconnect;
        }

        @Override
        public void startResponse(ResponseHead head, OptionalInt length) {
            mStatus = head.status();
        }

        @Override
        public void write(byte[] chunk) {
            mBody.append(new String(chunk, StandardCharsets.UTF_8));
        }

        @Override
        public void finish() {
            mIsFinished = true;
        }

        @Override
        public void abort() {
            mIsAborted = true;
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
