package org.rattanport.decisions.gateway.discovery;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.time.ManualTimeSource;

final class BackEndRegistryTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final BackEndRegistry mRegistry = TestFleet.registry(mTime);
    private final BackEnd mOne = TestFleet.backEnd("one", TestFleet.CALLS, false);
    private final BackEnd mTwo = TestFleet.backEnd("two", TestFleet.CALLS, false);

    @BeforeEach
    void setUp() {
        mRegistry.replace(List.of(mOne, mTwo));
    }

    @Nested
    final class Removal {
        @Test
        void shouldExcludeDrainingAndRemovedBackEnds() {
            mRegistry.apply(List.of(TestFleet.backEnd("one", TestFleet.CALLS, true)), List.of());
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
            mRegistry.apply(List.of(), List.of("two"));
            assertThat(mRegistry.available(TestFleet.CALLS)).isEmpty();
        }

        @Test
        void shouldRemoveBackEndsMissingFromFullRead() {
            mRegistry.replace(List.of(mTwo));
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
        }

        @Test
        void shouldRemoveBackEndWhoseAddressIsReused() {
            mRegistry.removeReplaced(mOne);
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
        }

        @Test
        void shouldRetainRestartedBackEndWithSameId() {
            BackEnd restarted =
                    new BackEnd("one", 2, TestFleet.CALLS, mOne.address(), "zone", 8, false);
            mRegistry.apply(List.of(restarted), List.of());
            mRegistry.removeReplaced(mOne);
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(restarted, mTwo);
        }
    }

    /** Entries of a copy that is some seconds old. */
    @Nested
    final class RestoredEntries {
        private final BackEnd mOneDraining = TestFleet.backEnd("one", TestFleet.CALLS, true);

        @Test
        void shouldNotBringBackABackEndThatLeaves() {
            mRegistry.apply(List.of(mOneDraining), List.of());
            mRegistry.applyRestored(List.of(mOne), List.of());
            mTime.advance(Duration.ofSeconds(20));
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
        }

        @Test
        void shouldBringBackABackEndWhoseRunsLookAlike() {
            BackEnd draining =
                    new BackEnd("three", 0, TestFleet.CALLS, "10.0.0.3:80", "zone", 8, true);
            BackEnd ready =
                    new BackEnd("three", 0, TestFleet.CALLS, "10.0.0.3:80", "zone", 8, false);
            mRegistry.apply(List.of(draining), List.of());
            mRegistry.apply(List.of(ready), List.of());
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mOne, mTwo, ready);
        }

        @Test
        void shouldNotBringBackABackEndThatIsGone() {
            mRegistry.apply(List.of(), List.of("one"));
            mRegistry.applyRestored(List.of(mOne), List.of());
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
            mRegistry.apply(List.of(), List.of("one"));
            mTime.advance(Duration.ofSeconds(20));
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
        }

        @Test
        void shouldBringBackABackEndWhoseEntryDoesNotLapse() {
            mRegistry.apply(List.of(), List.of("one"));
            mRegistry.applyRestored(List.of(mOne), List.of());
            mTime.advance(Duration.ofSeconds(7));
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mOne, mTwo);
        }

        @Test
        void shouldBringBackABackEndThatRegistersAgain() {
            mRegistry.apply(List.of(), List.of("one"));
            mRegistry.applyRestored(List.of(mOne), List.of());
            mRegistry.apply(List.of(mOne), List.of());
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mOne, mTwo);
        }

        @Test
        void shouldLeaveOutBackEndsThatTheCopyDoesNotHaveAfterAWhile() {
            mRegistry.applyRestored(List.of(), List.of("one"));
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mOne, mTwo);
            mTime.advance(Duration.ofSeconds(3));
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
        }

        @Test
        void shouldBringBackALaterRunAtOnce() {
            mRegistry.apply(List.of(mOneDraining), List.of());
            BackEnd restarted =
                    new BackEnd("one", 2, TestFleet.CALLS, mOne.address(), "zone", 8, false);
            mRegistry.applyRestored(List.of(restarted), List.of());
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(restarted, mTwo);
        }
    }

    @Nested
    final class AfterStoreOutage {
        @Test
        void shouldRetainMissingBackEndDuringGracePeriod() {
            mRegistry.recordStoreRecovery();
            mRegistry.replace(List.of(mTwo));
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mOne, mTwo);
            mTime.advance(Duration.ofSeconds(3));
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
        }

        @Test
        void shouldRetainBackEndThatRegistersAgain() {
            mRegistry.recordStoreRecovery();
            mRegistry.replace(List.of(mTwo));
            mRegistry.apply(List.of(mOne), List.of());
            mTime.advance(Duration.ofSeconds(3));
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mOne, mTwo);
        }

        @Test
        void shouldRemoveMissingBackEndThatWasDraining() {
            mRegistry.apply(List.of(TestFleet.backEnd("one", TestFleet.CALLS, true)), List.of());
            mRegistry.recordStoreRecovery();
            mRegistry.replace(List.of(mTwo));
            assertThat(mRegistry.find("one")).isEmpty();
        }
    }
}
