package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.poison.SuspicionTable;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.AnswerHead;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndClient;
import org.rattanport.kernel.gateway.BackEndExchange;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.MemoryOrders;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.gateway.Work;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** What may follow each way in which an attempt fails, and what the caller is told. */
final class ForwardingTest {
    /** What a back end does with the next attempt. */
    private enum Act {
        ANSWER,
        REFUSE,
        NO_CONNECTION,
        LOSE_ANSWER,
        FAIL,
        UNSIGNED,
        OTHER_ATTEMPT,
        SILENT,
        /** Streams one event, pauses, and streams the next. */
        PAUSE
    }

    private static final Duration PAUSE = Duration.ofMillis(1_500);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final EventStreams mEvents = new EventStreams();
    private final BackEndRegister mRegister = new BackEndRegister(mTime);
    private final BackEndHealth mHealth = new BackEndHealth(mTime);
    private final RoutingInForce mRouting = new RoutingInForce(mEvents);
    private final Deque<Act> mActs = new ArrayDeque<>();
    private final List<Attempt> mSent = new ArrayList<>();
    private final List<RequestOutcome> mOutcomes = new ArrayList<>();
    private final FakeCaller mCaller = new FakeCaller();
    private int mSlack = 100;

    @BeforeEach
    void fill() {
        List<BackEnd> backEnds = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            backEnds.add(TestFleet.backEnd("call-" + i, TestFleet.CALLS, false));
            backEnds.add(TestFleet.backEnd("engine-" + i, TestFleet.ENGINES, false));
        }
        mRegister.replace(backEnds);
        mRouting.offer(
                TestFleet.document(
                        1,
                        TestFleet.route("host", "/read/", RouteKind.IDEMPOTENT),
                        TestFleet.route("host", "/book/", RouteKind.NON_IDEMPOTENT),
                        TestFleet.route("host", "/stream/", RouteKind.STREAMING)));
        mEvents.watch(RequestOutcome.class).subscribe(mOutcomes::add);
    }

    private GatewayService service() {
        LoadBoard loads = new LoadBoard(mTime);
        Random random = new Random(1);
        BackEndPlacement calls =
                new LeastLoadedPlacement("zone", mRegister, mHealth, loads, random);
        MemoryLeases leases = new MemoryLeases(new NoOrders(), mTime);
        RepeatAllowance allowance =
                new RepeatAllowance(mTime, Duration.ofSeconds(10), 0.2, mSlack, () -> 1);
        GatewayParts parts =
                new GatewayParts(
                        mRouting,
                        mRegister,
                        calls,
                        calls,
                        new ScriptedClient(),
                        leases,
                        new OutcomeJudge(mHealth, new SuspicionTable(mTime, rumor -> {})),
                        loads,
                        new NoNews(),
                        new WorkBook(mTime),
                        allowance,
                        mEvents,
                        mTime);
        return new GatewayService(parts, random);
    }

    private void serve(String path, Act... acts) {
        mActs.addAll(List.of(acts));
        service().serve(TestFleet.request(path, 0), mCaller);
    }

    private RattanportException refused(String path, Act... acts) {
        return assertThrows(RattanportException.class, () -> serve(path, acts));
    }

    @Nested
    final class CallsThatMayNotBeRepeated {
        @Test
        void shouldGoToAnotherBackEndOnlyWhileNothingRan() {
            serve("/book/a", Act.REFUSE, Act.NO_CONNECTION, Act.ANSWER);
            assertThat(mCaller.mIsFinished).isTrue();
            assertThat(mSent.stream().map(each -> each.backEnd().id()).distinct().count())
                    .isEqualTo(3);
        }

        @Test
        void shouldNotBeSentAgainOnceTheyMayHaveRun() {
            for (Act act : List.of(Act.LOSE_ANSWER, Act.UNSIGNED, Act.OTHER_ATTEMPT)) {
                mSent.clear();
                RattanportException error = refused("/book/a", act);
                assertThat(error.verdict()).isNotEqualTo(Verdict.NOT_RUN);
                assertThat(mSent).hasSize(1);
            }
        }

        @Test
        void shouldNotBeSentAgainAfterAMixOfRefusalAndLoss() {
            RattanportException error = refused("/book/a", Act.REFUSE, Act.LOSE_ANSWER);
            assertThat(error.verdict()).isNotEqualTo(Verdict.NOT_RUN);
            assertThat(mSent).hasSize(2);
        }

        @Test
        void shouldPassAFailureOfTheBackEndOn() {
            serve("/book/a", Act.FAIL);
            assertThat(mCaller.mStatus).isEqualTo(500);
            assertThat(mSent).hasSize(1);
        }

        @Test
        void shouldBeRefusedAsNotRunWhenEveryBackEndRefuses() {
            RattanportException error =
                    refused("/book/a", Act.REFUSE, Act.REFUSE, Act.REFUSE, Act.REFUSE);
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(error.retryAfter()).isPresent();
        }
    }

    @Nested
    final class CallsThatMayBeRepeated {
        @Test
        void shouldRunOnNoMoreBackEndsThanTheRouteAllows() {
            refused("/read/a", Act.LOSE_ANSWER, Act.LOSE_ANSWER);
            assertThat(mSent).hasSize(2);
            assertThat(mOutcomes.getFirst().runs()).isEqualTo(2);
        }

        @Test
        void shouldTakeTheAnswerOfTheSecond() {
            serve("/read/a", Act.FAIL, Act.ANSWER);
            assertThat(mCaller.mStatus).isEqualTo(200);
        }

        @Test
        void shouldLeaveASilentBackEndWhileAnotherMayBeAsked() {
            serve("/read/a", Act.SILENT, Act.ANSWER);
            assertThat(mCaller.mStatus).isEqualTo(200);
            assertThat(mSent.get(1).timeLeft()).isLessThan(mSent.get(0).timeLeft());
        }

        @Test
        void shouldNotBeRepeatedBeyondTheAllowance() {
            mSlack = 0;
            refused("/read/a", Act.LOSE_ANSWER);
            assertThat(mSent).hasSize(1);
        }

        @Test
        void shouldNotChargeTheAllowanceForBackEndsOutOfReach() {
            mSlack = 0;
            serve("/read/a", Act.NO_CONNECTION, Act.NO_CONNECTION, Act.ANSWER);
            assertThat(mCaller.mStatus).isEqualTo(200);
        }
    }

    @Nested
    final class Streams {
        @Test
        void shouldGoOnElsewhereAfterASilenceButWaitForTheLastEngine() {
            serve("/stream/a", Act.PAUSE, Act.PAUSE);
            assertThat(mSent).hasSize(2);
            assertThat(mSent.get(1).lastEventId()).hasValue("1");
            assertThat(mCaller.mIsCut).isFalse();
            assertThat(mCaller.mIsFinished).isTrue();
            assertThat(mCaller.mText.toString().lines().filter(each -> each.startsWith("id")))
                    .containsExactly("id: 1", "id: 2", "id: 3")
                    .inOrder();
        }
    }

    @Nested
    final class RequestsThatEnginesDieWith {
        @Test
        void shouldBeRefusedAfterTheThirdDeath() {
            GatewayService service = service();
            for (int i = 0; i < 2; i++) {
                mActs.addAll(List.of(Act.LOSE_ANSWER, Act.LOSE_ANSWER));
                assertThrows(
                        RattanportException.class,
                        () -> service.serve(TestFleet.request("/read/p", 0), mCaller));
            }
            int sent = mSent.size();
            RattanportException error =
                    assertThrows(
                            RattanportException.class,
                            () -> service.serve(TestFleet.request("/read/p", 0), mCaller));
            assertThat(error.code()).isEqualTo(ErrorCode.POISON_REQUEST);
            assertThat(mSent).hasSize(sent);
        }
    }

    /** Does with each attempt what the script says. */
    private final class ScriptedClient implements BackEndClient {
        @Override
        public BackEndExchange send(Attempt attempt, Deadline connectDeadline) {
            mSent.add(attempt);
            Act act = mActs.removeFirst();
            if (act == Act.NO_CONNECTION) {
                throw new RattanportException(ErrorCode.TARGET_FAILED, "no connection");
            }
            return new ScriptedExchange(attempt, act);
        }
    }

    private final class ScriptedExchange implements BackEndExchange {
        private final Attempt mAttempt;
        private final Act mAct;
        private int mPieces;

        private ScriptedExchange(Attempt attempt, Act act) {
            mAttempt = attempt;
            mAct = act;
        }

        @Override
        public AnswerHead head(Deadline deadline) {
            return switch (mAct) {
                case LOSE_ANSWER -> throw failure(ErrorCode.TARGET_FAILED);
                case SILENT -> {
                    mTime.advance(deadline.remaining(mTime));
                    throw failure(ErrorCode.DEADLINE_EXCEEDED);
                }
                case REFUSE -> answer(503, true, false);
                case FAIL -> answer(500, false, true);
                case UNSIGNED -> answer(200, false, false);
                default -> answer(200, false, true);
            };
        }

        private AnswerHead answer(int status, boolean isNotRun, boolean isSealed) {
            String id = mAct == Act.OTHER_ATTEMPT ? "other" : mAttempt.request().attemptId();
            return new AnswerHead(
                    status,
                    List.of(),
                    Optional.of(id),
                    isSealed,
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
        public Optional<byte[]> next(Deadline deadline) {
            mPieces++;
            if (mAct != Act.PAUSE || mPieces > 2) {
                return Optional.empty();
            }
            if (mPieces == 2) {
                pause(deadline);
            }
            int last = mAttempt.lastEventId().map(Integer::parseInt).orElse(0);
            String event = "id: " + (last + mPieces) + "\ndata: x\n\n";
            return Optional.of(event.getBytes(StandardCharsets.UTF_8));
        }

        private void pause(Deadline deadline) {
            Duration left = deadline.remaining(mTime);
            if (left.compareTo(PAUSE) < 0) {
                mTime.advance(left);
                throw failure(ErrorCode.DEADLINE_EXCEEDED);
            }
            mTime.advance(PAUSE);
        }

        @Override
        public void abort() {}

        @Override
        public void close() {}
    }

    private static final class FakeCaller implements CallerExchange {
        private final Cancellation mDeparture = new Cancellation();
        private int mStatus;
        private final StringBuilder mText = new StringBuilder();
        private boolean mIsFinished;
        private boolean mIsCut;

        @Override
        public Cancellation departure() {
            return mDeparture;
        }

        @Override
        public void start(AnswerHead head, OptionalInt length) {
            mStatus = head.status();
        }

        @Override
        public void write(byte[] piece) {
            mText.append(new String(piece, StandardCharsets.UTF_8));
        }

        @Override
        public void finish() {
            mIsFinished = true;
        }

        @Override
        public void cut() {
            mIsCut = true;
        }
    }

    private static final class NoNews implements WorkNews {
        @Override
        public void placed(Work work) {}

        @Override
        public void writes(String id) {}

        @Override
        public void ended(String id) {}
    }

    private static final class NoOrders implements MemoryOrders {
        @Override
        public boolean reserve(
                String address, String id, int tokens, Duration hold, Deadline deadline) {
            return true;
        }

        @Override
        public boolean release(String address, String id, Deadline deadline) {
            return true;
        }
    }
}
