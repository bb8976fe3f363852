package org.rattanport.decisions.gateway.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.PeerHub;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.RumorQueue;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineGroup;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.PlacementDecision;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.gateway.PromptSize;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.ManualTimeSource;

/** Several instances that place prompts at shared engines through coordinators. */
final class CoordinatedPlacementTest {
    private static final Duration OBJECTIVE = Duration.ofMillis(300);
    private static final Duration MAX_GAP = Duration.ofMillis(200);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final PeerHub mHub = new PeerHub();
    private final List<Instance> mInstances = new ArrayList<>();
    private int mLastAttempt;

    /** The placement of one instance with what it knows. */
    private final class Instance {
        private final MemberTable mMembers;
        private final BackEndRegistry mRegistry = TestFleet.registry(mTime);
        private final BackEndHealth mHealth = new BackEndHealth(mTime);
        private final WorkTracker mTracker = new WorkTracker(mTime);
        private final List<PlacementDecision> mDecisions = new ArrayList<>();
        private final CoordinatorDirectory mDirectory;
        private final WorkUpdateSender mSender;
        private final CoordinatedPlacement mPlacement;

        private Instance(int index, int instances, int engines) {
            mMembers = new MemberTable(member(index), new RumorQueue(), new EventStreams());
            IntStream.range(0, instances).mapToObj(i -> member(i)).forEach(mMembers::merge);
            mRegistry.replace(TestFleet.engines(engines));
            ActiveRouting routing = new ActiveRouting(new EventStreams());
            routing.activateIfNewer(TestFleet.document(1));
            PeerNetwork peers = mHub.networkOf(address(index));
            PlacementCoordinator coordinator =
                    new PlacementCoordinator(
                            routing,
                            new PromptPlacement(
                                    mRegistry,
                                    mHealth,
                                    mTracker,
                                    PlacementTuning.DEFAULTS,
                                    new Random(index)),
                            mTracker,
                            mHealth);
            coordinator.registerHandlers(peers);
            mDirectory = new CoordinatorDirectory(mMembers, mTime);
            // Updates travel only with requests, so that the order of messages is fixed.
            mSender = new WorkUpdateSender(peers, new StoppedTimeSource());
            mPlacement =
                    new CoordinatedPlacement(
                            mRegistry,
                            coordinator,
                            mDirectory,
                            mTracker,
                            peers,
                            mSender,
                            mDecisions::add,
                            mTime,
                            new Random(index));
        }

        private Placement place(String attemptId, int tokens) {
            return mPlacement.place(query(attemptId, tokens)).orElseThrow();
        }

        private Placement place() {
            return place("attempt-" + ++mLastAttempt, 5_000);
        }

        private Instance coordinatorOf(int group) {
            Member member =
                    mDirectory.candidates(TestFleet.ENGINES, new EngineGroup(group, 1)).getFirst();
            return mInstances.stream()
                    .filter(each -> each.mMembers.self().id().equals(member.id()))
                    .findFirst()
                    .orElseThrow();
        }

        private String peerAddress() {
            return mMembers.self().peerAddress();
        }
    }

    private static PlacementQuery query(String attemptId, int tokens) {
        return query(attemptId, tokens, Set.of());
    }

    private static PlacementQuery query(String attemptId, int tokens, Set<String> excluded) {
        return new PlacementQuery(
                TestFleet.engineService(),
                new PlacementDemand(
                        attemptId,
                        TestFleet.ENGINES,
                        EngineGroup.ALL,
                        Optional.of(new PromptSize(tokens, 1_500)),
                        OBJECTIVE,
                        MAX_GAP,
                        excluded));
    }

    private static String address(int index) {
        return "p-" + index;
    }

    private static Member member(int index) {
        return new Member(
                new InstanceId("instance-" + index, 1),
                "c-" + index,
                address(index),
                "zone",
                MemberState.ALIVE,
                0);
    }

    private void start(int instances, int engines) {
        for (int i = 0; i < instances; i++) {
            mInstances.add(new Instance(i, instances, engines));
        }
    }

    private Instance other(Instance instance) {
        return mInstances.stream().filter(each -> each != instance).findFirst().orElseThrow();
    }

    @AfterEach
    void close() {
        mInstances.forEach(each -> each.mSender.close());
    }

    @Nested
    final class FewUsableEngines {
        private static final int ENGINES = 96;

        private Set<String> allBut(String usable) {
            return TestFleet.engines(ENGINES).stream()
                    .map(BackEnd::id)
                    .filter(id -> !id.equals(usable))
                    .collect(Collectors.toSet());
        }

        /** Requests were refused because neither of two random groups had a usable engine. */
        @Test
        void shouldBeFoundInWhicheverGroupTheyAre() {
            start(3, ENGINES);
            for (BackEnd usable : TestFleet.engines(20)) {
                Set<String> excluded = allBut(usable.id());
                Placement placement =
                        mInstances
                                .getFirst()
                                .mPlacement
                                .place(query("attempt-" + usable.id(), 5_000, excluded))
                                .orElseThrow();
                assertThat(placement.backEnd()).isEqualTo(usable);
            }
        }

        @Test
        void shouldCostNoMessageWhenThereIsNone() {
            start(3, ENGINES);
            assertThat(
                            mInstances
                                    .getFirst()
                                    .mPlacement
                                    .place(query("attempt", 5_000, allBut("none")))
                                    .isPresent())
                    .isFalse();
            assertThat(mHub.messages()).isEmpty();
        }
    }

    @Nested
    final class OneGroup {
        @Test
        void shouldSeePlacementsOfOtherInstancesAtOnce() {
            start(6, 4);
            int slots = TestFleet.ENGINE_SPEC.slots();
            List<String> engines = new ArrayList<>();
            for (int i = 0; i < 4 * slots; i++) {
                engines.add(mInstances.get(i % 6).place().backEnd().id());
            }
            assertThat(engines.stream().distinct().count()).isEqualTo(4);
            for (BackEnd engine : TestFleet.engines(4)) {
                assertThat(engines.stream().filter(engine.id()::equals).count()).isAtMost(slots);
            }
        }

        @Test
        void shouldSendOneMessagePerPlacementWhateverTheNumberOfInstances() {
            start(60, 20);
            mInstances.forEach(Instance::place);
            assertThat(mHub.messages()).hasSize(59);
        }

        @Test
        void shouldForgetEndedWorkWithTheNextRequest() {
            start(2, 4);
            Instance coordinator = mInstances.getFirst().coordinatorOf(0);
            Instance sender = other(coordinator);
            Placement first = sender.place("first", 5_000);
            assertThat(coordinator.mTracker.size()).isEqualTo(1);
            sender.mPlacement.ended(first.work().orElseThrow().attemptId());
            sender.place("second", 5_000);
            assertThat(coordinator.mTracker.size()).isEqualTo(1);
        }

        @Test
        void shouldReportFailuresOfEnginesToTheCoordinator() {
            start(2, 4);
            Instance coordinator = mInstances.getFirst().coordinatorOf(0);
            Instance sender = other(coordinator);
            String failed = sender.place("first", 5_000).backEnd().id();
            sender.mPlacement.engineFailed("first", failed, 2);
            sender.mPlacement.ended("first");
            assertThat(sender.place("second", 5_000).backEnd().id()).isNotEqualTo(failed);
            assertThat(coordinator.mHealth.isUnhealthy(failed)).isTrue();
        }
    }

    @Nested
    final class SlowEngines {
        /** The instance waits for the first event by the prediction of the work. */
        @Test
        void shouldLengthenThePredictionOfACoordinatorThatDoesNotKnow() {
            start(2, 1);
            Instance coordinator = mInstances.getFirst().coordinatorOf(0);
            Instance sender = other(coordinator);
            EngineWork before = sender.place("before", 45_000).work().orElseThrow();
            sender.mPlacement.ended("before");
            sender.mTracker.slowdowns().record("engine-0", 5);
            EngineWork after = sender.place("after", 45_000).work().orElseThrow();
            assertThat(coordinator.mTracker.slowdowns().factor("engine-0")).isEqualTo(1);
            assertThat(after.predictedFirstEventMillis())
                    .isWithin(0.01)
                    .of(5 * before.shares().getFirst().prefillMillis());
        }
    }

    @Nested
    final class SilentCoordinator {
        @Test
        void shouldBeReplacedByTheNextOneWhichLearnsOpenWork() {
            start(5, 4);
            Instance first = mInstances.getFirst().coordinatorOf(0);
            Instance sender = other(first);
            sender.place("open", 5_000);
            mHub.silence(first.peerAddress());
            sender.place("next", 5_000);
            Instance second = sender.coordinatorOf(0);
            assertThat(second).isNotSameInstanceAs(first);
            assertThat(second.mTracker.size()).isEqualTo(2);
        }

        @Test
        void shouldLeavePlacementToTheInstanceItselfWhenNoneResponds() {
            start(4, 4);
            Instance sender = mInstances.getFirst();
            mInstances.stream().skip(1).map(Instance::peerAddress).forEach(mHub::silence);
            assertThat(sender.place().backEnd()).isNotNull();
        }

        @Test
        void shouldLearnOpenWorkAgainAfterItsRestartAtTheSameAddress() {
            start(2, 4);
            Instance first = mInstances.getFirst().coordinatorOf(0);
            Instance sender = other(first);
            sender.place("open", 5_000);
            first.mTracker.ended("open");
            Member before = first.mMembers.self();
            sender.mMembers.merge(
                    new Member(
                            new InstanceId(before.id().name(), 2),
                            before.callerAddress(),
                            before.peerAddress(),
                            before.dataCentre(),
                            MemberState.ALIVE,
                            0));
            sender.place("next", 5_000);
            assertThat(first.mTracker.size()).isEqualTo(2);
        }

        @Test
        void shouldStayAMemberWhenItIsOnlySlow() {
            start(3, 4);
            Instance first = mInstances.getFirst().coordinatorOf(0);
            Instance sender = other(first);
            mHub.silence(first.peerAddress());
            for (int i = 0; i < 5; i++) {
                sender.place();
                mTime.advance(Duration.ofSeconds(2));
            }
            assertThat(sender.mMembers.aliveMembers()).hasSize(3);
            mHub.restore(first.peerAddress());
            sender.place();
            assertThat(sender.mDecisions.getLast().coordinator())
                    .isEqualTo(PlacementDecision.Coordinator.PEER);
        }

        @Test
        void shouldNotKeepWorkWhoseGrantWasLost() {
            start(3, 4);
            Instance first = mInstances.getFirst().coordinatorOf(0);
            Instance sender = other(first);
            mHub.loseReplies(first.peerAddress());
            sender.place("lost", 5_000);
            assertThat(first.mTracker.size()).isEqualTo(1);
            mHub.restore(first.peerAddress());
            mTime.advance(Duration.ofSeconds(2));
            sender.mPlacement.ended("lost");
            sender.place("next", 5_000);
            assertThat(first.mTracker.size()).isEqualTo(1);
        }
    }

    @Nested
    final class SeveralGroups {
        private static final int ENGINES = 72;

        @Test
        void shouldKeepAPromptInsideOneGroup() {
            start(8, ENGINES);
            int groups = CoordinatorDirectory.groupCount(ENGINES);
            Placement placement = mInstances.getFirst().place("long", 300_000);
            assertThat(groups).isEqualTo(3);
            assertThat(
                            placement.work().orElseThrow().shares().stream()
                                    .map(each -> EngineGroup.indexOf(each.engineId(), groups))
                                    .distinct())
                    .hasSize(1);
        }

        @Test
        void shouldTryASecondGroupWhenTheFirstIsFull() {
            start(3, ENGINES);
            int groups = CoordinatorDirectory.groupCount(ENGINES);
            // All slots but those of one group are taken.
            int placed = 0;
            for (int i = 0; i < ENGINES * TestFleet.ENGINE_SPEC.slots(); i++) {
                mInstances.get(i % 3).place();
                placed++;
            }
            int recorded =
                    mInstances.stream().mapToInt(each -> each.mTracker.size()).max().orElse(0);
            assertThat(recorded).isAtMost(placed);
            long distinctEngines =
                    mInstances.stream()
                            .flatMap(
                                    each ->
                                            TestFleet.engines(ENGINES).stream()
                                                    .map(BackEnd::id)
                                                    .filter(
                                                            id ->
                                                                    !each.mTracker
                                                                            .estimateLoad(id)
                                                                            .decodes()
                                                                            .isEmpty()))
                            .distinct()
                            .count();
            assertThat(groups).isGreaterThan(1);
            assertThat(distinctEngines).isEqualTo(ENGINES);
        }

        @Test
        void shouldHaveAboutEqualGroups() {
            int engines = 600;
            int groups = CoordinatorDirectory.groupCount(engines);
            int[] sizes = new int[groups];
            TestFleet.engines(engines)
                    .forEach(each -> sizes[EngineGroup.indexOf(each.id(), groups)]++);
            assertThat(IntStream.of(sizes).min().orElse(0)).isAtLeast(8);
            assertThat(IntStream.of(sizes).max().orElse(0)).isAtMost(48);
        }

        @Test
        void shouldMoveFewEnginesWhenAGroupIsAdded() {
            long moved =
                    TestFleet.engines(600).stream()
                            .filter(
                                    each ->
                                            EngineGroup.indexOf(each.id(), 25)
                                                    != EngineGroup.indexOf(each.id(), 26))
                            .count();
            assertThat(moved).isAtMost(600 / 26 * 2);
        }
    }

    @Nested
    final class DifferentViews {
        @Test
        void shouldRejectAnEngineThatThisInstanceKnowsToDrain() {
            start(2, 1);
            Instance coordinator = mInstances.getFirst().coordinatorOf(0);
            Instance sender = other(coordinator);
            sender.mRegistry.apply(
                    List.of(TestFleet.backEnd("engine-0", TestFleet.ENGINES, true)), List.of());
            assertThat(sender.mPlacement.place(query("a", 5_000))).isEmpty();
        }

        @Test
        void shouldPlaceByItselfWhenTheCoordinatorChoosesAnUnknownEngine() {
            start(2, 2);
            Instance coordinator = mInstances.getFirst().coordinatorOf(0);
            Instance sender = other(coordinator);
            String chosen = coordinator.place().backEnd().id();
            sender.mRegistry.apply(List.of(), List.of(chosen));
            for (int i = 0; i < 3; i++) {
                assertThat(sender.place().backEnd().id()).isNotEqualTo(chosen);
            }
        }

        @Test
        void shouldPlaceByItselfWhenTheCoordinatorKnowsNoEngine() {
            start(2, 2);
            Instance coordinator = mInstances.getFirst().coordinatorOf(0);
            coordinator.mRegistry.apply(List.of(), List.of("engine-0", "engine-1"));
            assertThat(other(coordinator).place().backEnd()).isNotNull();
        }

        @Test
        void shouldPlaceThroughTwoCoordinatorsWithoutLosingEnds() {
            start(4, 4);
            Instance one = mInstances.get(0);
            Instance coordinator = one.coordinatorOf(0);
            Instance sender = other(coordinator);
            sender.place("a", 5_000);
            sender.mMembers.markState(coordinator.mMembers.self().id(), MemberState.SUSPECT);
            sender.place("b", 5_000);
            sender.mPlacement.ended("a");
            sender.mPlacement.ended("b");
            assertThat(sender.mTracker.size()).isEqualTo(0);
            assertThat(
                            mHub.messages().stream()
                                    .filter(PeerMessage.PlacementRequest.class::isInstance)
                                    .count())
                    .isAtLeast(1);
        }
    }
}
