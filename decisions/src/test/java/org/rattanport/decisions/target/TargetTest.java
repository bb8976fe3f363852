package org.rattanport.decisions.target;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.peer.Rumor;
import org.rattanport.kernel.time.ManualTimeSource;

/** Tests the target directory against a stale instance list, ejection, and load estimates. */
final class TargetTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<Rumor> mRumors = new ArrayList<>();
    private final TargetDirectory mDirectory =
            new TargetDirectory(new TargetHealth(mTime), new EventStreams(), mRumors::add);

    @Nested
    final class Draining {
        @Test
        void shouldExcludeTheTargetDespiteAStaleList() {
            mDirectory.updateFromList(List.of(engine(1)));
            mDirectory.markDraining(new TargetId("engine", 1));
            mDirectory.updateFromList(List.of(engine(1)));
            assertThat(serving()).isEmpty();
        }

        @Test
        void shouldNotifyPeersOnce() {
            mDirectory.updateFromList(List.of(engine(1)));
            mDirectory.markDraining(new TargetId("engine", 1));
            mDirectory.markDraining(new TargetId("engine", 1));
            assertThat(mRumors)
                    .containsExactly(new Rumor.TargetDraining(new TargetId("engine", 1)));
        }

        @Test
        void shouldNotAffectANewerIncarnation() {
            mDirectory.updateFromList(List.of(engine(2)));
            mDirectory.markDraining(new TargetId("engine", 1));
            assertThat(serving()).hasSize(1);
        }
    }

    @Nested
    final class Restart {
        @Test
        void shouldBeDetectedFromALoadReport() {
            mDirectory.updateFromList(List.of(engine(1)));
            mDirectory.markDraining(new TargetId("engine", 1));
            mDirectory.updateFromReport(report(2, 1, 0, 0));
            assertThat(serving().getFirst().id()).isEqualTo(new TargetId("engine", 2));
        }

        @Test
        void shouldNotBeUndoneByAStaleList() {
            mDirectory.updateFromList(List.of(engine(1)));
            mDirectory.updateFromReport(report(2, 1, 0, 0));
            mDirectory.updateFromList(List.of(engine(1).asDraining()));
            assertThat(serving().getFirst().id().incarnation()).isEqualTo(2);
        }
    }

    @Nested
    final class Ejection {
        @Test
        void shouldFollowRepeatedFailuresAndExpire() {
            mDirectory.updateFromList(
                    List.of(engine(1), engineNamed("second"), engineNamed("third")));
            TargetId id = new TargetId("engine", 1);
            mDirectory.health().recordFailure(id);
            assertThat(serving()).hasSize(3);
            mDirectory.health().recordFailure(id);
            assertThat(serving()).hasSize(2);
            mTime.advance(Duration.ofMillis(1100));
            assertThat(serving()).hasSize(3);
            mDirectory.health().recordFailure(id);
            mTime.advance(Duration.ofMillis(1100));
            assertThat(serving()).hasSize(2);
            mDirectory.health().recordSuccess(id);
            assertThat(serving()).hasSize(3);
        }

        @Test
        void shouldBeIgnoredWhenMostOfThePoolIsEjected() {
            mDirectory.updateFromList(
                    List.of(engine(1), engineNamed("second"), engineNamed("third")));
            eject(new TargetId("engine", 1));
            assertThat(serving()).hasSize(2);
            eject(new TargetId("second", 1));
            assertThat(serving()).hasSize(3);
        }

        private void eject(TargetId id) {
            mDirectory.health().recordFailure(id);
            mDirectory.health().recordFailure(id);
        }

        private Target engineNamed(String name) {
            return new Target(
                    new TargetId(name, 1),
                    TargetKind.ENGINE,
                    "assistant",
                    "127.0.0.1:1",
                    "dc",
                    false);
        }
    }

    @Nested
    final class Load {
        private final EngineLoad mEstimate = new EngineLoad(report(1, 1, 0, 0), mTime.nanoTime());

        @Test
        void shouldCountAttemptsSentSinceTheReport() {
            mEstimate.addAttempt("a", 1_000, 1_200, mTime.nanoTime());
            assertThat(mEstimate.backlogTokens()).isEqualTo(1_000);
            assertThat(mEstimate.freeMemoryTokens()).isEqualTo(100_000 - 1_200);
        }

        @Test
        void shouldNotCountReportedAttemptsTwice() {
            mEstimate.addAttempt("a", 1_000, 1_200, mTime.nanoTime());
            mTime.advance(Duration.ofSeconds(1));
            mEstimate.update(report(1, 2, 1_000, 1_200), mTime.nanoTime());
            assertThat(mEstimate.backlogTokens()).isEqualTo(1_000);
            assertThat(mEstimate.freeMemoryTokens()).isEqualTo(100_000 - 1_200);
        }

        @Test
        void shouldCountOwnWaitingPromptsThatAReportOmits() {
            mEstimate.addAttempt("a", 1_000, 1_200, mTime.nanoTime());
            mTime.advance(Duration.ofSeconds(1));
            mEstimate.update(report(1, 2, 0, 0), mTime.nanoTime());
            assertThat(mEstimate.backlogTokens()).isEqualTo(1_000);
            mEstimate.recordFirstToken("a");
            assertThat(mEstimate.backlogTokens()).isEqualTo(0);
        }

        @Test
        void shouldIgnoreAnOlderReport() {
            mEstimate.update(report(1, 5, 700, 0), mTime.nanoTime());
            mEstimate.update(report(1, 4, 9_000, 0), mTime.nanoTime());
            assertThat(mEstimate.backlogTokens()).isEqualTo(700);
        }

        @Test
        void shouldRemoveAnEndedAttemptCompletely() {
            mEstimate.addAttempt("a", 1_000, 1_200, mTime.nanoTime());
            mEstimate.removeAttempt("a");
            mEstimate.removeAttempt("a");
            assertThat(mEstimate.backlogTokens()).isEqualTo(0);
            assertThat(mEstimate.freeMemoryTokens()).isEqualTo(100_000);
            assertThat(mEstimate.outstanding()).isEqualTo(0);
        }

        @Test
        void shouldLimitBorrowing() {
            assertThat(mEstimate.hasBorrowingBudget(100, mTime.nanoTime())).isTrue();
            mEstimate.chargeBorrowing(500);
            assertThat(mEstimate.hasBorrowingBudget(100, mTime.nanoTime())).isFalse();
            mTime.advance(Duration.ofSeconds(6));
            assertThat(mEstimate.hasBorrowingBudget(100, mTime.nanoTime())).isTrue();
        }
    }

    private List<Target> serving() {
        return mDirectory.serving(TargetKind.ENGINE, "assistant");
    }

    private static Target engine(long incarnation) {
        return new Target(
                new TargetId("engine", incarnation),
                TargetKind.ENGINE,
                "assistant",
                "127.0.0.1:1",
                "dc",
                false);
    }

    private static TargetLoad report(long incarnation, long sequence, long waiting, long used) {
        return new TargetLoad(
                new TargetId("engine", incarnation),
                sequence,
                waiting,
                0,
                used,
                100_000,
                10_000,
                0.02,
                false);
    }
}
