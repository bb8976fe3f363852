package org.rattanport.decisions.gateway.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.PromptPart;
import org.rattanport.kernel.time.ManualTimeSource;

/** What is remembered of the prompts that were placed at an engine. */
final class RememberedPromptsTest {
    private static final long ROOM = 100_000;
    private static final double FIRST_EVENT_MILLIS = 200;
    private static final BackEnd ENGINE = TestFleet.backEnd("e", TestFleet.ENGINES, false);
    private static final BackEnd OTHER = TestFleet.backEnd("f", TestFleet.ENGINES, false);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final RememberedPrompts mMemory = new RememberedPrompts(mTime);

    private static List<PromptPrefix> prefixes(Object... idsAndTokens) {
        return PromptPrefix.of(
                IntStream.range(0, idsAndTokens.length / 2)
                        .mapToObj(
                                i ->
                                        new PromptPart(
                                                (String) idsAndTokens[2 * i],
                                                (int) idsAndTokens[2 * i + 1]))
                        .toList());
    }

    /** Places a prompt; with several engines, the first one decodes. */
    private void place(String id, List<PromptPrefix> prefixes, BackEnd... engines) {
        int tokens = prefixes.stream().mapToInt(PromptPrefix::tokens).sum() / engines.length;
        List<EngineShare> shares =
                IntStream.range(0, engines.length)
                        .mapToObj(i -> new EngineShare(engines[i].id(), tokens, 9, tokens, i == 0))
                        .toList();
        EngineWork work = new EngineWork(id, shares, FIRST_EVENT_MILLIS, 900, 200, 1);
        mMemory.recordPlaced(
                Placement.of(work, 1, each -> find(each, engines)).orElseThrow(), prefixes);
    }

    private static Optional<BackEnd> find(String id, BackEnd... engines) {
        return Arrays.stream(engines).filter(each -> each.id().equals(id)).findFirst();
    }

    private void run(String id, List<PromptPrefix> prefixes) {
        place(id, prefixes, ENGINE);
        finishPrefill();
        mMemory.recordEnded(id);
    }

    private void finishPrefill() {
        mTime.advance(Duration.ofMillis((long) FIRST_EVENT_MILLIS));
    }

    private long held(List<PromptPrefix> prefixes) {
        return mMemory.heldTokens(ENGINE, prefixes, ROOM);
    }

    @Nested
    final class Beginnings {
        @Test
        void shouldCountCommonPartsUpToTheFirstDifferentOne() {
            run("a", prefixes("s", 800, "x", 400, "y", 100));
            assertThat(held(prefixes("s", 800, "x", 400, "z", 70))).isEqualTo(1_200);
            assertThat(held(prefixes("s", 800, "z", 70, "y", 100))).isEqualTo(800);
        }

        /** Keys and values depend on all tokens before them. */
        @Test
        void shouldNotCountAPartAfterAnotherBeginning() {
            run("a", prefixes("s", 800, "x", 400));
            assertThat(held(prefixes("x", 400))).isEqualTo(0);
            assertThat(held(prefixes("t", 800, "x", 400))).isEqualTo(0);
            assertThat(held(prefixes("s", 801, "x", 400))).isEqualTo(0);
        }

        @Test
        void shouldBelongToOneEngine() {
            run("a", prefixes("s", 800));
            assertThat(mMemory.heldTokens(OTHER, prefixes("s", 800), ROOM)).isEqualTo(0);
        }
    }

    @Nested
    final class RunningRequests {
        @Test
        void shouldCountOnceTheirPromptIsRead() {
            place("a", prefixes("s", 800), ENGINE);
            assertThat(held(prefixes("s", 800))).isEqualTo(0);
            finishPrefill();
            assertThat(held(prefixes("s", 800))).isEqualTo(800);
        }

        /** A placement that was withdrawn or refused must leave no trace. */
        @Test
        void shouldLeaveNothingWhenTheyEndBeforeTheirPromptIsRead() {
            place("a", prefixes("s", 800), ENGINE);
            mMemory.recordEnded("a");
            finishPrefill();
            assertThat(held(prefixes("s", 800))).isEqualTo(0);
        }

        @Test
        void shouldKeepTheBeginningThatTheyFound() {
            run("a", prefixes("s", 800));
            place("b", prefixes("s", 800, "x", 400), ENGINE);
            assertThat(held(prefixes("s", 800))).isEqualTo(800);
            mMemory.recordEnded("b");
            assertThat(held(prefixes("s", 800, "x", 400))).isEqualTo(800);
        }

        @Test
        void shouldKeepTheirPromptWhateverRoomIsLeft() {
            place("a", prefixes("s", 800), ENGINE);
            finishPrefill();
            assertThat(mMemory.heldTokens(ENGINE, prefixes("s", 800), 0)).isEqualTo(800);
        }
    }

    @Nested
    final class Bounds {
        @Test
        void shouldEvictTheLeastRecentlyUsedPromptWhenMemoryIsNeeded() {
            run("a", prefixes("s", 800, "x", 400));
            run("b", prefixes("t", 800));
            run("c", prefixes("s", 800));
            assertThat(mMemory.heldTokens(ENGINE, prefixes("t", 800), 1_700)).isEqualTo(800);
            assertThat(mMemory.heldTokens(ENGINE, prefixes("t", 800), 1_500)).isEqualTo(0);
            assertThat(held(prefixes("s", 800))).isEqualTo(800);
        }

        @Test
        void shouldEvictTheEndOfAPromptFirst() {
            run("a", prefixes("s", 800, "x", 400));
            assertThat(mMemory.heldTokens(ENGINE, prefixes("s", 800, "x", 400), 900))
                    .isEqualTo(800);
        }

        @Test
        void shouldHoldNoMoreThanTheRoomOfTheEngine() {
            for (int i = 0; i < 100; i++) {
                run("a" + i, prefixes("s" + i, 3_000));
            }
            long total =
                    IntStream.range(0, 100).mapToLong(i -> held(prefixes("s" + i, 3_000))).sum();
            assertThat(total).isAtMost(ROOM);
            assertThat(total).isAtLeast(ROOM - 3_000);
        }

        /** Short parts without number must not fill the memory of a small instance. */
        @Test
        void shouldBeBoundedInNumber() {
            for (int i = 0; i < 5_000; i++) {
                place("a" + i, prefixes("s" + i, 1), ENGINE);
                finishPrefill();
                mMemory.recordEnded("a" + i);
            }
            long total = IntStream.range(0, 5_000).mapToLong(i -> held(prefixes("s" + i, 1))).sum();
            assertThat(total).isAtMost(1_024);
        }

        @Test
        void shouldBeForgottenAfterSomeMinutesWithoutUse() {
            run("a", prefixes("s", 800));
            mTime.advance(Duration.ofMinutes(4));
            run("b", prefixes("s", 800));
            mTime.advance(Duration.ofMinutes(4));
            assertThat(held(prefixes("s", 800))).isEqualTo(800);
            mTime.advance(Duration.ofMinutes(2));
            assertThat(held(prefixes("s", 800))).isEqualTo(0);
        }
    }

    @Nested
    final class LostMemory {
        @Test
        void shouldBeForgottenWhenTheEngineStartsAnew() {
            run("a", prefixes("s", 800));
            BackEnd next = new BackEnd("e", 2, TestFleet.ENGINES, "10.0.0.1:1", "zone", 8, false);
            assertThat(mMemory.heldTokens(next, prefixes("s", 800), ROOM)).isEqualTo(0);
            place("b", prefixes("t", 70), next);
            finishPrefill();
            assertThat(mMemory.heldTokens(next, prefixes("t", 70), ROOM)).isEqualTo(70);
            assertThat(mMemory.heldTokens(next, prefixes("s", 800), ROOM)).isEqualTo(0);
        }

        @Test
        void shouldBeForgottenWhenTheEngineDropsItsWork() {
            run("a", prefixes("s", 800));
            place("b", prefixes("s", 800), ENGINE);
            mMemory.recordFailure("e", 1);
            mMemory.recordEnded("b");
            assertThat(held(prefixes("s", 800))).isEqualTo(0);
        }

        @Test
        void shouldSurviveRefusalsAndErrorResponses() {
            run("a", prefixes("s", 800));
            mMemory.recordFailure("e", 0.3);
            assertThat(held(prefixes("s", 800))).isEqualTo(800);
        }
    }

    @Nested
    final class SplitPrompts {
        @Test
        void shouldBeHeldFromTheBeginningOnlyByTheFirstReader() {
            List<PromptPrefix> prompt = prefixes("s", 3_000, "x", 1_500, "y", 4_500);
            place("a", prompt, OTHER, ENGINE);
            finishPrefill();
            mMemory.recordEnded("a");
            assertThat(held(prompt)).isEqualTo(4_500);
            assertThat(mMemory.heldTokens(OTHER, prompt, ROOM)).isEqualTo(0);
        }

        @Test
        void shouldCountTheBeginningOfAPartThatWasCut() {
            List<PromptPrefix> prompt = prefixes("s", 3_000, "x", 6_000);
            place("a", prompt, OTHER, ENGINE);
            finishPrefill();
            mMemory.recordEnded("a");
            assertThat(held(prompt)).isEqualTo(4_500);
            run("b", prompt);
            assertThat(held(prompt)).isEqualTo(9_000);
        }
    }
}
