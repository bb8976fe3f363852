package org.rattanport.decisions.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.TestDocuments;
import org.rattanport.decisions.cost.CostModel;
import org.rattanport.decisions.target.EngineLoad;
import org.rattanport.decisions.target.EngineLoadTable.Candidate;
import org.rattanport.kernel.model.AccountId;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.request.PromptRequest;

final class PlacementTest {
    private static final int ENGINES = 8;
    private static final int SHORT = 0;
    private static final int LONG = 2;

    private final List<Candidate> mCandidates = new ArrayList<>();
    private final LengthAwarePlacement mPolicy =
            new LengthAwarePlacement(new CostModel(), new Random(3));

    PlacementTest() {
        IntStream.range(0, ENGINES).forEach(i -> mCandidates.add(candidate(i)));
    }

    @Nested
    final class Assignment {
        @Test
        void shouldFollowTheSharesOfTheClasses() {
            EngineClassAssignment assignment =
                    EngineClassAssignment.assign(
                            TestDocuments.MODEL,
                            mCandidates,
                            TestDocuments.document().lengthClasses());
            List<Integer> assigned =
                    mCandidates.stream()
                            .map(each -> assignment.lengthClass(each.target().id().name()))
                            .sorted()
                            .toList();
            assertThat(assigned).containsExactly(0, 0, 0, 0, 1, 1, 2, 2).inOrder();
        }

        @Test
        void shouldNotDependOnTheOrderOfCandidates() {
            var classes = TestDocuments.document().lengthClasses();
            EngineClassAssignment forward =
                    EngineClassAssignment.assign(TestDocuments.MODEL, mCandidates, classes);
            EngineClassAssignment backward =
                    EngineClassAssignment.assign(
                            TestDocuments.MODEL, mCandidates.reversed(), classes);
            mCandidates.forEach(
                    each -> {
                        String name = each.target().id().name();
                        assertThat(backward.lengthClass(name)).isEqualTo(forward.lengthClass(name));
                    });
        }
    }

    @Nested
    final class Choosing {
        @Test
        void shouldPreferEnginesOfTheOwnClass() {
            for (int i = 0; i < 50; i++) {
                assertThat(mPolicy.choose(request(1_000, SHORT)).orElseThrow().isBorrowed())
                        .isFalse();
            }
        }

        @Test
        void shouldBorrowWithinTheBudgetWhenOwnEnginesAreBusy() {
            mCandidates.forEach(each -> each.load().addAttempt("in use", 0, 100, 0));
            enginesOf(SHORT).forEach(each -> each.load().addAttempt("busy", 50_000, 0, 0));
            int borrowed = 0;
            while (mPolicy.choose(request(1_000, SHORT)).isPresent()) {
                borrowed++;
                assertThat(borrowed).isLessThan(100);
            }
            assertThat(borrowed).isAtLeast(1);
        }

        @Test
        void shouldBorrowAnIdleEngineWhenOwnEnginesAreBusy() {
            enginesOf(LONG).forEach(each -> each.load().addAttempt("busy", 150_000, 0, 0));
            Placement placement = mPolicy.choose(request(100_000, LONG)).orElseThrow();
            assertThat(placement.isBorrowed()).isTrue();
        }

        @Test
        void shouldNotPlaceLongPromptsOnEnginesClosedToLongerClasses() {
            mCandidates.forEach(each -> each.load().addAttempt("in use", 0, 100, 0));
            enginesOf(LONG).forEach(each -> each.load().addAttempt("busy", 150_000, 0, 0));
            EngineClassAssignment assignment =
                    EngineClassAssignment.assign(
                            TestDocuments.MODEL,
                            mCandidates,
                            TestDocuments.document().lengthClasses());
            for (int i = 0; i < 30; i++) {
                String chosen =
                        mPolicy.choose(request(100_000, LONG)).orElseThrow().target().id().name();
                assertThat(assignment.acceptsLongerClasses(chosen)).isTrue();
            }
        }

        @Test
        void shouldSpreadOverEquivalentEngines() {
            Set<TargetId> chosen = new HashSet<>();
            for (int i = 0; i < 100; i++) {
                chosen.add(mPolicy.choose(request(1_000, SHORT)).orElseThrow().target().id());
            }
            assertThat(chosen).hasSize(4);
        }

        @Test
        void shouldReturnEmptyWhenNoEngineHasEnoughMemory() {
            mCandidates.forEach(each -> each.load().addAttempt("full", 0, 390_000, 0));
            assertThat(mPolicy.choose(request(50_000, LONG))).isEmpty();
        }

        @Test
        void shouldGiveShortClassesTheHigherEnginePriority() {
            int ofShort = mPolicy.choose(request(1_000, SHORT)).orElseThrow().enginePriority();
            int ofLong = mPolicy.choose(request(100_000, LONG)).orElseThrow().enginePriority();
            assertThat(ofShort).isGreaterThan(ofLong);
        }

        @Test
        void shouldAvoidExcludedEnginesWhileOthersRemain() {
            Set<TargetId> excluded = new HashSet<>();
            enginesOf(SHORT).stream().limit(3).forEach(each -> excluded.add(each.target().id()));
            for (int i = 0; i < 20; i++) {
                TargetId chosen =
                        mPolicy.choose(request(1_000, SHORT, excluded)).orElseThrow().target().id();
                assertThat(excluded).doesNotContain(chosen);
            }
        }

        private List<Candidate> enginesOf(int lengthClass) {
            EngineClassAssignment assignment =
                    EngineClassAssignment.assign(
                            TestDocuments.MODEL,
                            mCandidates,
                            TestDocuments.document().lengthClasses());
            return mCandidates.stream()
                    .filter(
                            each ->
                                    assignment.lengthClass(each.target().id().name())
                                            == lengthClass)
                    .toList();
        }
    }

    private PlacementRequest request(int tokens, int lengthClass) {
        return request(tokens, lengthClass, Set.of());
    }

    private PlacementRequest request(int tokens, int lengthClass, Set<TargetId> excluded) {
        PromptRequest prompt =
                PromptRequest.builder()
                        .account(new AccountId("inspectors"))
                        .model(TestDocuments.MODEL)
                        .promptTokens(tokens)
                        .build();
        return new PlacementRequest(
                prompt, TestDocuments.document(), lengthClass, 0, excluded, mCandidates, 1, 0);
    }

    private static Candidate candidate(int index) {
        TargetId id = new TargetId("engine-" + index, 1);
        TargetLoad report = new TargetLoad(id, 1, 0, 0, 0, 400_000, 20_000, 0.02, false);
        return new Candidate(
                new Target(id, TargetKind.ENGINE, TestDocuments.MODEL, "127.0.0.1:1", "dc", false),
                new EngineLoad(report, 0));
    }
}
