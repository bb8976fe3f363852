package org.rattanport.decisions.gateway.explain;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Engine;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Limit;
import org.rattanport.decisions.gateway.explain.PlacementExplanation.Reason;
import org.rattanport.decisions.gateway.limits.BackEndNotices;
import org.rattanport.decisions.gateway.placement.BackEndHealth;
import org.rattanport.decisions.gateway.placement.CoordinatorDirectory;
import org.rattanport.decisions.gateway.placement.EngineEstimate;
import org.rattanport.decisions.gateway.placement.Placement;
import org.rattanport.decisions.gateway.placement.PlacementTuning;
import org.rattanport.decisions.gateway.placement.PromptPlacement;
import org.rattanport.decisions.gateway.placement.WorkTracker;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.RumorQueue;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.PromptPart;
import org.rattanport.kernel.gateway.PromptSize;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.time.ManualTimeSource;

/** What operators learn of a placement. */
final class PlacementExplainerTest {
    private static final int ENGINES = 4;

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final BackEndNotices mNotices = new BackEndNotices(mTime, notice -> {}, rumor -> {});
    private final BackEndRegistry mRegistry = new BackEndRegistry(mTime, mNotices);
    private final BackEndHealth mHealth = new BackEndHealth(mTime);
    private final WorkTracker mTracker = new WorkTracker(mTime);
    private final ActiveRouting mRouting = new ActiveRouting(new EventStreams());
    private Optional<Fingerprint> mBlocked = Optional.empty();
    private final PlacementExplainer mExplainer =
            new PlacementExplainer(
                    mRouting,
                    mRegistry,
                    mHealth,
                    new PromptPlacement(
                            mRegistry,
                            mHealth,
                            mTracker,
                            PlacementTuning.DEFAULTS.withoutJitter(),
                            new Random(1)),
                    new CoordinatorDirectory(
                            new MemberTable(
                                    new Member(
                                            new InstanceId("instance-1", 1),
                                            "c",
                                            "p",
                                            "zone",
                                            MemberState.ALIVE,
                                            0),
                                    new RumorQueue(),
                                    new EventStreams()),
                            mTime),
                    content -> mBlocked);

    @BeforeEach
    void setUp() {
        mRegistry.replace(TestFleet.engines(ENGINES));
        mRouting.activateIfNewer(
                TestFleet.document(
                        1,
                        TestFleet.route("host", "/stream/", RouteKind.STREAMING),
                        TestFleet.route("host", "/read/", RouteKind.IDEMPOTENT)));
    }

    private PlacementExplanation explain(String... excluded) {
        return explain(5_000, "account", excluded);
    }

    private PlacementExplanation explain(int tokens, String account, String... excluded) {
        return mExplainer
                .explain(
                        new PlacementQuestion(
                                "route/stream/",
                                Optional.of(account),
                                new PromptSize(tokens, 1_500),
                                List.of(new PromptPart("s", 800), new PromptPart("a", 250)),
                                Set.of(excluded)))
                .getFirst();
    }

    private static Engine engine(PlacementExplanation explanation, int index) {
        return explanation.engines().stream()
                .filter(each -> each.id().equals("engine-" + index))
                .findFirst()
                .orElseThrow();
    }

    private static Placement placement(PlacementExplanation explanation) {
        return explanation.groups().getFirst().placement().orElseThrow();
    }

    private void addWork(int engine, int count, double prefillMillis, int memoryTokens) {
        for (int i = 0; i < count; i++) {
            EngineShare share =
                    new EngineShare("engine-" + engine, 1, prefillMillis, memoryTokens, true);
            mTracker.placed(
                    new EngineWork(engine + "-" + i, List.of(share), prefillMillis, 9_000, 200, 1));
        }
    }

    @Nested
    final class Reasons {
        @Test
        void shouldNameTheChosenEngineAndTheDearerOnes() {
            PlacementExplanation explanation = explain();
            assertThat(explanation.refusal()).isEmpty();
            String chosen = placement(explanation).backEnd().id();
            for (Engine each : explanation.engines()) {
                assertThat(each.reason())
                        .isEqualTo(each.id().equals(chosen) ? Reason.CHOSEN : Reason.DEARER);
            }
        }

        @Test
        void shouldNameTheEnginesThatPrefillParts() {
            PlacementExplanation explanation = explain(300_000, "account");
            assertThat(placement(explanation).prefillEngines()).isNotEmpty();
            for (BackEnd each : placement(explanation).prefillEngines()) {
                assertThat(
                                explanation.engines().stream()
                                        .filter(engine -> engine.id().equals(each.id()))
                                        .map(Engine::reason))
                        .containsExactly(Reason.PREFILLS_PART);
            }
        }

        @Test
        void shouldNameClosedGates() {
            mNotices.recordResponse(
                    mRegistry.find("engine-1").orElseThrow(),
                    ResponseHead.builder(503).pause(Optional.of(Duration.ofSeconds(2))).build());
            assertThat(engine(explain(), 1).reason()).isEqualTo(Reason.GATE);
            assertThat(engine(explain(), 1).detail()).isEqualTo("asked for a pause or leaves");
        }

        @Test
        void shouldNameEnginesThatLeaveAreExcludedOrFailedLately() {
            mRegistry.apply(
                    List.of(TestFleet.backEnd("engine-0", TestFleet.ENGINES, true)), List.of());
            mHealth.recordFailure("engine-2", 2);
            PlacementExplanation explanation = explain("engine-1");
            assertThat(engine(explanation, 0).reason()).isEqualTo(Reason.LEAVING);
            assertThat(engine(explanation, 1).reason()).isEqualTo(Reason.EXCLUDED);
            assertThat(engine(explanation, 2).reason()).isEqualTo(Reason.UNHEALTHY);
            assertThat(engine(explanation, 2).detail()).isEqualTo("failure weight 2.0");
            assertThat(engine(explanation, 3).reason()).isEqualTo(Reason.CHOSEN);
        }

        /**
         * Engines that all failed lately are compared by their cost, which contains the failures.
         */
        @Test
        void shouldNotNameFailuresIfAllEnginesFailed() {
            TestFleet.engines(ENGINES).forEach(each -> mHealth.recordFailure(each.id(), 2));
            assertThat(explain().engines().stream().map(Engine::reason).distinct())
                    .containsExactly(Reason.CHOSEN, Reason.DEARER);
        }

        @Test
        void shouldNameEnginesWithoutASlotOrMemory() {
            addWork(0, TestFleet.ENGINE_SPEC.slots(), 0, 100);
            addWork(1, 1, 0, 445_000);
            assertThat(engine(explain(), 0).reason()).isEqualTo(Reason.FULL);
            assertThat(engine(explain(), 1).reason()).isEqualTo(Reason.NO_MEMORY);
        }
    }

    @Nested
    final class Costs {
        @Test
        void shouldContainTheWaitBehindTheWorkOfTheEngine() {
            addWork(2, 1, 700, 7_000);
            EngineEstimate busy = engine(explain(), 2).estimate();
            assertThat(busy.waitMillis()).isWithin(0.01).of(700);
            assertThat(busy.firstEventMillis()).isWithin(0.01).of(700 + busy.prefillMillis());
            assertThat(busy.interferenceCost()).isEqualTo(1);
            assertThat(busy.firstDecodeCost()).isEqualTo(0);
        }

        /** The parts explain the decision only if they are all of it. */
        @Test
        void shouldAddUpToTheCostOfThePlacement() {
            addWork(2, 1, 0, 7_000);
            mHealth.recordFailure("engine-2", 0.01);
            PlacementExplanation explanation = explain("engine-0", "engine-1", "engine-3");
            assertThat(placement(explanation).backEnd().id()).isEqualTo("engine-2");
            assertThat(engine(explanation, 2).estimate().totalCost())
                    .isWithin(1e-9)
                    .of(placement(explanation).cost());
        }
    }

    @Nested
    final class Refusals {
        private Limit limit(PlacementExplanation explanation) {
            return explanation.refusal().orElseThrow().limit();
        }

        @Test
        void shouldNameAnUnknownAccount() {
            assertThat(limit(explain(5_000, "other"))).isEqualTo(Limit.ACCOUNT);
        }

        @Test
        void shouldNameAPartThatMakesEnginesCrash() {
            mBlocked = Optional.of(Fingerprint.of("part", "s"));
            assertThat(limit(explain())).isEqualTo(Limit.CRASHING_PART);
            assertThat(explain().refusal().orElseThrow().message()).endsWith("the part s");
        }

        @Test
        void shouldNameThePausesOfAllEngines() {
            TestFleet.engines(ENGINES)
                    .forEach(
                            each ->
                                    mNotices.recordResponse(
                                            each,
                                            ResponseHead.builder(503)
                                                    .pause(Optional.of(Duration.ofSeconds(2)))
                                                    .build()));
            assertThat(limit(explain())).isEqualTo(Limit.GATES);
            assertThat(explain().refusal().orElseThrow().retryAfter())
                    .hasValue(Duration.ofSeconds(2));
        }

        @Test
        void shouldNameMissingAndExcludedEngines() {
            assertThat(limit(explain("engine-0", "engine-1", "engine-2", "engine-3")))
                    .isEqualTo(Limit.EXCLUDED);
            mRegistry.apply(List.of(), Stream.of(0, 1, 2, 3).map(i -> "engine-" + i).toList());
            assertThat(limit(explain())).isEqualTo(Limit.NO_ENGINE);
        }

        @Test
        void shouldRejectQuestionsAboutOtherRoutes() {
            assertThat(rejected("unknown")).isEqualTo(ErrorCode.NOT_FOUND);
            assertThat(rejected("route/read/")).isEqualTo(ErrorCode.INVALID_REQUEST);
        }

        private ErrorCode rejected(String route) {
            return assertThrows(
                            RattanportException.class,
                            () ->
                                    mExplainer.explain(
                                            new PlacementQuestion(
                                                    route,
                                                    Optional.empty(),
                                                    new PromptSize(1, 1),
                                                    List.of(),
                                                    Set.of())))
                    .code();
        }
    }

    @Nested
    final class Traces {
        /** A question must not take room from requests, nor change the next answer. */
        @Test
        void shouldNotBeLeft() {
            addWork(2, 1, 700, 7_000);
            PlacementExplanation first = explain();
            for (int i = 0; i < 20; i++) {
                explain();
            }
            assertThat(mTracker.size()).isEqualTo(1);
            assertThat(explain().engines()).isEqualTo(first.engines());
        }
    }
}
