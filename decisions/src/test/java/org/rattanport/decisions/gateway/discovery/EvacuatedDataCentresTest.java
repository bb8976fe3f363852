package org.rattanport.decisions.gateway.discovery;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EvacuationChange;
import org.rattanport.kernel.gateway.Evacuations;
import org.rattanport.kernel.gateway.FleetSource.OperatorChange;
import org.rattanport.kernel.gateway.FleetUpdate.EvacuationUpdate;
import org.rattanport.kernel.gateway.StoreChange.Origin;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.time.ManualTimeSource;

/** Which data centres an instance takes for evacuated, whatever order it learns their rows in. */
final class EvacuatedDataCentresTest {
    private static final Duration REWRITE_TIME = Duration.ofSeconds(6);
    private static final Origin PEER = new Origin("peer", Duration.ofMillis(70));

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<EvacuationChange> mChanges = new ArrayList<>();
    private final EvacuatedDataCentres mGate = gate("self");

    private EvacuatedDataCentres gate(String instance) {
        return new EvacuatedDataCentres(instance, mChanges::add, mTime);
    }

    private static BackEnd backEnd(String id, String dataCentre) {
        return new BackEnd(id, 1, "calls", "10.0.0.1:80", dataCentre, 8, false);
    }

    private static StorePosition at(long era, long version) {
        return new StorePosition(era, version);
    }

    private static void read(
            EvacuatedDataCentres gate, long era, long version, String... evacuated) {
        gate.record(
                new OperatorChange(
                        at(era, version), Optional.empty(), Set.of(evacuated), Set.of(), true));
    }

    private void write(long era, long version, String dataCentre) {
        mGate.record(
                new OperatorChange(
                        at(era, version), Optional.empty(), Set.of(dataCentre), Set.of(), false));
    }

    private void remove(long era, long version, String dataCentre) {
        mGate.record(
                new OperatorChange(
                        at(era, version), Optional.empty(), Set.of(), Set.of(dataCentre), false));
    }

    /** Applies what one instance would pass on to another one. */
    private static void passOn(EvacuatedDataCentres from, EvacuatedDataCentres to) {
        from.since(to.position()).ifPresent(each -> to.record(each.evacuations(), PEER));
    }

    private boolean accepts(EvacuatedDataCentres gate, String dataCentre) {
        return gate.accepts(backEnd("one", dataCentre));
    }

    private boolean accepts(String dataCentre) {
        return accepts(mGate, dataCentre);
    }

    @Nested
    final class StartingInstance {
        /** Nothing would keep a request from an evacuated data centre. */
        @Test
        void shouldAcceptNothingBeforeItKnowsTheEvacuations() {
            assertThat(mGate.isKnown()).isFalse();
            assertThat(accepts("a")).isFalse();
            assertThat(mGate.waitTime(backEnd("one", "a"))).isEqualTo(Optional.empty());
            read(mGate, 1, 10, "b");
            assertThat(accepts("a")).isTrue();
            assertThat(accepts("b")).isFalse();
        }

        @Test
        void shouldLearnThemFromAnotherInstance() {
            read(mGate, 1, 10, "a");
            EvacuatedDataCentres started = gate("started");
            passOn(mGate, started);
            assertThat(accepts(started, "a")).isFalse();
            assertThat(accepts(started, "b")).isTrue();
        }

        /** The end was taken for a row that a restored store lacks. */
        @Test
        void shouldLearnAnEndThatFollowsAtOnce() {
            read(mGate, 1, 10, "a");
            EvacuatedDataCentres started = gate("started");
            passOn(mGate, started);
            remove(1, 12, "a");
            passOn(mGate, started);
            assertThat(accepts(started, "a")).isTrue();
        }

        /** Stores that are never restored name no era. */
        @Test
        void shouldBeServedInTheFirstEra() {
            EvacuatedDataCentres started = gate("started");
            read(mGate, 0, 0);
            passOn(mGate, started);
            assertThat(started.isKnown()).isTrue();
        }
    }

    @Nested
    final class OperatorsRows {
        @Test
        void shouldEvacuateTwoDataCentresInTurn() {
            read(mGate, 1, 10);
            write(1, 12, "a");
            assertThat(accepts("a")).isFalse();
            write(1, 14, "b");
            remove(1, 16, "a");
            mTime.advance(Duration.ofSeconds(2));
            assertThat(accepts("a")).isTrue();
            assertThat(accepts("b")).isFalse();
            assertThat(mChanges.stream().map(EvacuationChange::dataCentre))
                    .containsExactly("a", "b", "a")
                    .inOrder();
            assertThat(mChanges.stream().map(EvacuationChange::evacuatedCount))
                    .containsExactly(1, 2, 1)
                    .inOrder();
        }

        @Test
        void shouldNotPromiseATimeForTheEnd() {
            read(mGate, 1, 10, "a");
            assertThat(mGate.waitTime(backEnd("one", "a"))).isEqualTo(Optional.empty());
            assertThat(mGate.waitTime(backEnd("one", "b"))).hasValue(Duration.ZERO);
        }

        /** What is known holds without the store, however long it is down. */
        @Test
        void shouldHoldWhileTheStoreIsDown() {
            read(mGate, 1, 10, "a");
            mTime.advance(Duration.ofHours(1));
            assertThat(accepts("a")).isFalse();
        }
    }

    /** A reader of the store or an instance that is behind the others. */
    @Nested
    final class StaleReaders {
        @Test
        void shouldNotEndAnEvacuationByAnOldFullRead() {
            read(mGate, 1, 10);
            write(1, 12, "a");
            read(mGate, 1, 11);
            mGate.record(new Evacuations(at(1, 11), Set.of()), PEER);
            assertThat(accepts("a")).isFalse();
        }

        @Test
        void shouldNotBeginAnEvacuationByAnOldChange() {
            read(mGate, 1, 10, "a");
            remove(1, 14, "a");
            write(1, 12, "a");
            mTime.advance(Duration.ofSeconds(2));
            assertThat(accepts("a")).isTrue();
        }

        /** The changes of a reader that is behind lead to the state that others have passed on. */
        @Test
        void shouldFollowAReaderThatCatchesUp() {
            read(mGate, 1, 10);
            mGate.record(new Evacuations(at(1, 20), Set.of("a")), PEER);
            write(1, 15, "b");
            assertThat(accepts("b")).isTrue();
            write(1, 25, "b");
            assertThat(accepts("a")).isFalse();
            assertThat(accepts("b")).isFalse();
        }
    }

    @Nested
    final class RestoredStore {
        @Test
        void shouldHoldTheUnionUntilTheOperatorHasHadTimeToWriteAgain() {
            read(mGate, 1, 100, "a");
            read(mGate, 2, 50, "b");
            mTime.advance(REWRITE_TIME.minusMillis(1));
            assertThat(accepts("a")).isFalse();
            assertThat(accepts("b")).isFalse();
            mTime.advance(Duration.ofMillis(1));
            assertThat(accepts("a")).isTrue();
            assertThat(accepts("b")).isFalse();
            assertThat(mChanges.getLast().dataCentre()).isEqualTo("a");
            assertThat(mChanges.getLast().isEvacuated()).isFalse();
        }

        @Test
        void shouldHoldARowThatIsWrittenAgain() {
            read(mGate, 1, 100, "a");
            read(mGate, 2, 50);
            mTime.advance(Duration.ofSeconds(3));
            write(2, 51, "a");
            mTime.advance(Duration.ofMinutes(1));
            assertThat(accepts("a")).isFalse();
            assertThat(mChanges).hasSize(1);
        }

        @Test
        void shouldEndARowThatIsRemoved() {
            read(mGate, 1, 100, "a");
            read(mGate, 2, 50, "a");
            remove(2, 51, "a");
            mTime.advance(Duration.ofSeconds(2));
            assertThat(accepts("a")).isTrue();
        }

        @Test
        void shouldNotBeUndoneByASecondReadOfTheCopy() {
            read(mGate, 1, 100, "a");
            read(mGate, 2, 50);
            mTime.advance(Duration.ofSeconds(5));
            read(mGate, 2, 51);
            assertThat(accepts("a")).isFalse();
        }

        @Test
        void shouldHoldTheUnionAgainAfterASecondRestore() {
            read(mGate, 1, 100, "a");
            read(mGate, 2, 50);
            mTime.advance(Duration.ofSeconds(5));
            read(mGate, 3, 20);
            mTime.advance(Duration.ofSeconds(5));
            assertThat(accepts("a")).isFalse();
            mTime.advance(Duration.ofSeconds(4));
            mGate.isEvacuated(backEnd("one", "a"));
            mTime.advance(Duration.ofSeconds(2));
            assertThat(accepts("a")).isTrue();
        }

        @Test
        void shouldBePassedOnToInstancesThatKnewTheRowsAndToThoseThatStart() {
            read(mGate, 1, 100, "a");
            EvacuatedDataCentres other = gate("other");
            passOn(mGate, other);
            read(mGate, 2, 50);
            EvacuatedDataCentres started = gate("started");
            for (EvacuatedDataCentres each : List.of(other, started)) {
                passOn(mGate, each);
                passOn(mGate, each);
                assertThat(each.position()).isEqualTo(at(2, 50));
                mTime.advance(Duration.ofMillis(500));
                assertThat(accepts(each, "a")).isFalse();
            }
            mTime.advance(REWRITE_TIME);
            for (EvacuatedDataCentres each : List.of(other, started)) {
                assertThat(each.isEvacuated(backEnd("one", "a"))).isFalse();
            }
        }
    }

    @Nested
    final class PassingOn {
        @Test
        void shouldSayNothingNewToAnInstanceThatKnowsTheLatestChange() {
            read(mGate, 1, 10, "a");
            EvacuatedDataCentres other = gate("other");
            passOn(mGate, other);
            mGate.record(
                    new OperatorChange(at(1, 90), Optional.empty(), Set.of(), Set.of(), false));
            assertThat(mGate.since(other.position())).isEqualTo(Optional.empty());
        }

        @Test
        void shouldAddUpTheAges() {
            mGate.record(new Evacuations(at(1, 10), Set.of("a")), PEER);
            mTime.advance(Duration.ofMillis(30));
            EvacuationUpdate update = mGate.since(StorePosition.UNREAD).orElseThrow();
            assertThat(update.ageMillis()).isEqualTo(100);
            assertThat(mChanges.getFirst().origin()).isEqualTo(PEER);
        }
    }

    /** All instances would have sent all their requests to the idle back ends at once. */
    @Nested
    final class Return {
        private static final int BACK_ENDS = 400;

        private long accepted(EvacuatedDataCentres gate) {
            return IntStream.range(0, BACK_ENDS)
                    .filter(each -> gate.accepts(backEnd("back-end-" + each, "a")))
                    .count();
        }

        @Test
        void shouldSpreadOverTwoSeconds() {
            mGate.recordRegistered(backEnd("one", "a"));
            mGate.recordRegistered(backEnd("two", "b"));
            read(mGate, 1, 10, "a");
            assertThat(accepted(mGate)).isEqualTo(0);
            remove(1, 12, "a");
            mTime.advance(Duration.ofMillis(500));
            assertThat(accepted(mGate)).isAtLeast(BACK_ENDS / 8);
            assertThat(accepted(mGate)).isAtMost(BACK_ENDS * 3 / 8);
            mTime.advance(Duration.ofMillis(1_500));
            assertThat(accepted(mGate)).isEqualTo(BACK_ENDS);
        }

        @Test
        void shouldNotWaitWhileNoOtherDataCentreTakesRequests() {
            mGate.recordRegistered(backEnd("one", "a"));
            mGate.recordRegistered(backEnd("two", "b"));
            read(mGate, 1, 10, "a", "b");
            remove(1, 12, "a");
            assertThat(accepted(mGate)).isEqualTo(BACK_ENDS);
        }

        @Test
        void shouldEndWithTheNextEvacuation() {
            read(mGate, 1, 10, "a");
            remove(1, 12, "a");
            mTime.advance(Duration.ofSeconds(1));
            write(1, 14, "a");
            mTime.advance(Duration.ofSeconds(3));
            assertThat(accepted(mGate)).isEqualTo(0);
        }
    }
}
