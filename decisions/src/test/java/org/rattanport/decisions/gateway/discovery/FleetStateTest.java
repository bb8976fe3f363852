package org.rattanport.decisions.gateway.discovery;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.FleetSource.OperatorChange;
import org.rattanport.kernel.gateway.FleetSource.RegistryChange;
import org.rattanport.kernel.gateway.FleetUpdate;
import org.rattanport.kernel.gateway.FleetUpdate.RegistryUpdate;
import org.rattanport.kernel.gateway.SourcedDocument;
import org.rattanport.kernel.gateway.StoreChange;
import org.rattanport.kernel.gateway.StoreChange.Origin;
import org.rattanport.kernel.gateway.StorePart;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.ManualTimeSource;

/** What an instance passes on to others, and what it accepts from them. */
final class FleetStateTest {
    private static final Origin PEER = new Origin("peer", Duration.ofMillis(20));

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final Node mReader = new Node();
    private final Node mFollower = new Node();
    private final BackEnd mOne = TestFleet.backEnd("one", TestFleet.CALLS, false);
    private final BackEnd mTwo = TestFleet.backEnd("two", TestFleet.CALLS, false);
    private final BackEnd mTwoDraining = TestFleet.backEnd("two", TestFleet.CALLS, true);

    /** The state of one instance. */
    private final class Node {
        private final ActiveRouting mRouting = new ActiveRouting(new EventStreams());
        private final BackEndRegistry mRegistry = TestFleet.registry(mTime);
        private final EvacuatedDataCentres mEvacuated =
                new EvacuatedDataCentres("a", change -> {}, mTime);
        private final List<StoreChange> mChanges = new ArrayList<>();
        private final FleetState mState =
                new FleetState(mRouting, mRegistry, mEvacuated, () -> {}, mChanges::add, mTime);

        private FleetUpdate updateFor(Node other) {
            return mState.await(
                    new PeerMessage.FleetRequest(
                            other.mState.documentVersion(),
                            other.mState.registryPosition(),
                            other.mState.evacuationPosition(),
                            0),
                    Duration.ZERO);
        }

        private void take(FleetUpdate update) {
            update.evacuations()
                    .ifPresent(each -> mState.recordPeerEvacuations(each.evacuations(), PEER));
            update.registry().ifPresent(each -> mState.recordPeerUpdate(each, PEER));
        }
    }

    @BeforeEach
    void setUp() {
        mReader.mState.recordFullRead(change(10, List.of(mOne, mTwo)), false);
        mFollower.take(mReader.updateFor(mFollower));
    }

    private static RegistryChange change(long version, List<BackEnd> present, String... removed) {
        return new RegistryChange(new StorePosition(1, version), present, List.of(removed));
    }

    @Nested
    final class Registry {
        @Test
        void shouldReachAnInstanceThatReadsNothingItself() {
            assertThat(mFollower.mRegistry.available(TestFleet.CALLS)).containsExactly(mOne, mTwo);
            assertThat(mFollower.mRegistry.isInitialized()).isTrue();
        }

        @Test
        void shouldPassOnOnlyChanges() {
            mReader.mState.recordChange(change(12, List.of(mTwoDraining)), false);
            RegistryUpdate update = mReader.updateFor(mFollower).registry().orElseThrow();
            assertThat(update.isFull()).isFalse();
            assertThat(update.change().present()).containsExactly(mTwoDraining);
            mFollower.mState.recordPeerUpdate(update, PEER);
            assertThat(mFollower.mRegistry.available(TestFleet.CALLS)).containsExactly(mOne);
        }

        @Test
        void shouldPassOnTheLastOfSeveralChanges() {
            mReader.mState.recordChange(change(12, List.of(), "two"), false);
            mReader.mState.recordChange(change(14, List.of(mTwo), "one"), false);
            mFollower.take(mReader.updateFor(mFollower));
            assertThat(mFollower.mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
        }

        @Test
        void shouldNotGoBackThroughAReaderThatIsBehind() {
            Node stale = new Node();
            stale.mState.recordFullRead(change(9, List.of(mOne)), false);
            mFollower.mState.recordChange(change(12, List.of(), "one"), false);
            assertThat(stale.updateFor(mFollower).registry()).isEqualTo(Optional.empty());
            mFollower.mState.recordPeerUpdate(
                    new RegistryUpdate(change(9, List.of(mOne)), true, false), PEER);
            assertThat(mFollower.mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
        }

        @Test
        void shouldPassOnAllEntriesToAnInstanceFarBehind() {
            LongStream.range(20, 1_000)
                    .forEach(
                            version ->
                                    mReader.mState.recordChange(
                                            change(version, List.of(mTwo)), false));
            mReader.mState.recordChange(change(1_000, List.of(), "one"), false);
            RegistryUpdate update = mReader.updateFor(mFollower).registry().orElseThrow();
            assertThat(update.isFull()).isTrue();
            mFollower.mState.recordPeerUpdate(update, PEER);
            assertThat(mFollower.mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
        }

        @Test
        void shouldGrantLapsedEntriesTheirGracePeriodEverywhere() {
            mReader.mState.recordFullRead(change(20, List.of(mTwo)), true);
            mFollower.take(mReader.updateFor(mFollower));
            assertThat(mFollower.mRegistry.available(TestFleet.CALLS)).containsExactly(mOne, mTwo);
            mTime.advance(Duration.ofSeconds(3));
            assertThat(mFollower.mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
        }
    }

    /** The store comes back from a copy, in a new era. */
    @Nested
    final class RestoredStore {
        private static RegistryChange restored(long version, List<BackEnd> present) {
            return new RegistryChange(new StorePosition(2, version), present, List.of());
        }

        @Test
        void shouldReplaceLaterVersionsOfTheOldEra() {
            mReader.mState.recordFullRead(restored(3, List.of(mOne, mTwo)), false);
            mReader.mState.recordChange(
                    new RegistryChange(new StorePosition(2, 4), List.of(mTwoDraining), List.of()),
                    false);
            assertThat(mReader.mRegistry.available(TestFleet.CALLS)).containsExactly(mOne);
            RegistryUpdate update = mReader.updateFor(mFollower).registry().orElseThrow();
            assertThat(update.isFull()).isTrue();
            mFollower.take(mReader.updateFor(mFollower));
            assertThat(mFollower.mRegistry.available(TestFleet.CALLS)).containsExactly(mOne);
            assertThat(mReader.updateFor(mFollower).isEmpty()).isTrue();
        }

        @Test
        void shouldNotBeReplacedByALateAnswerOfTheOldEra() {
            mReader.mState.recordFullRead(restored(3, List.of(mOne)), false);
            mReader.mState.recordChange(change(500, List.of(), "one"), false);
            mReader.mState.recordFullRead(change(500, List.of(mTwo)), false);
            assertThat(mReader.mState.registryPosition()).isEqualTo(new StorePosition(2, 3));
            assertThat(mReader.mRegistry.find("one")).isPresent();
        }

        @Test
        void shouldNotGoBackThroughAReaderOfTheOldEra() {
            mFollower.mState.recordFullRead(restored(3, List.of(mOne, mTwo)), false);
            mReader.mState.recordChange(change(900, List.of(), "one"), false);
            assertThat(mReader.updateFor(mFollower).registry()).isEqualTo(Optional.empty());
        }

        @Test
        void shouldNotPassOnOldEntriesOfBackEndsThatLeave() {
            mReader.mState.recordChange(change(12, List.of(mTwoDraining)), false);
            mReader.mState.recordFullRead(restored(3, List.of(mOne, mTwo)), false);
            Node started = new Node();
            started.take(mReader.updateFor(started));
            assertThat(started.mRegistry.available(TestFleet.CALLS)).containsExactly(mOne);
        }

        @Test
        void shouldBeRestoredTwice() {
            mReader.mState.recordFullRead(restored(3, List.of(mOne, mTwo)), false);
            mReader.mState.recordFullRead(
                    new RegistryChange(new StorePosition(3, 1), List.of(mTwo), List.of()), false);
            mFollower.take(mReader.updateFor(mFollower));
            mTime.advance(Duration.ofSeconds(3));
            assertThat(mFollower.mState.registryPosition()).isEqualTo(new StorePosition(3, 1));
            assertThat(mFollower.mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
        }
    }

    /** Entries hold the time that is left as of their arrival, not as of their passing on. */
    @Nested
    final class ColdBackEnds {
        private final BackEnd mCold = mOne.withColdLeft(Duration.ofSeconds(5));

        private Duration passedOnTo(Node other) {
            return mReader.updateFor(other).registry().orElseThrow().change().present().stream()
                    .filter(each -> each.id().equals("one"))
                    .findFirst()
                    .orElseThrow()
                    .coldLeft();
        }

        @Test
        void shouldBePassedOnWithTheTimeThatIsLeft() {
            mReader.mState.recordChange(change(12, List.of(mCold)), false);
            mTime.advance(Duration.ofSeconds(2));
            assertThat(passedOnTo(mFollower)).isEqualTo(Duration.ofSeconds(3));
            assertThat(passedOnTo(new Node())).isEqualTo(Duration.ofSeconds(3));
            mTime.advance(Duration.ofSeconds(4));
            assertThat(passedOnTo(mFollower)).isEqualTo(Duration.ZERO);
            assertThat(passedOnTo(new Node())).isEqualTo(Duration.ZERO);
        }

        @Test
        void shouldBePassedOnAsOfTheNewestEntry() {
            mReader.mState.recordChange(change(12, List.of(mCold)), false);
            mTime.advance(Duration.ofSeconds(2));
            mReader.mState.recordChange(
                    change(13, List.of(mOne.withColdLeft(Duration.ofSeconds(1)))), false);
            assertThat(passedOnTo(mFollower)).isEqualTo(Duration.ofSeconds(1));
        }

        /** A full read must not begin the time of an entry anew that was read before. */
        @Test
        void shouldKeepTheTimeOfAnEntryThatIsReadAgain() {
            mReader.mState.recordChange(change(12, List.of(mCold, mTwo)), false);
            mTime.advance(Duration.ofSeconds(2));
            mReader.mState.recordFullRead(change(13, List.of(mCold, mTwo)), false);
            assertThat(passedOnTo(new Node())).isEqualTo(Duration.ofSeconds(3));
        }
    }

    @Nested
    final class Ages {
        @Test
        void shouldAddUpOnTheWayOfAChange() {
            mTime.advance(Duration.ofMillis(300));
            mFollower.mState.recordPeerUpdate(
                    new RegistryUpdate(change(12, List.of(), "one"), false, false),
                    new Origin("reader", Duration.ofMillis(70)));
            mTime.advance(Duration.ofMillis(30));
            assertThat(
                            mFollower
                                    .mState
                                    .await(
                                            new PeerMessage.FleetRequest(
                                                    0, new StorePosition(1, 12), 0),
                                            Duration.ZERO)
                                    .ages()
                                    .registryMillis())
                    .isEqualTo(100);
            assertThat(mFollower.mChanges.getLast().origin().source()).isEqualTo("reader");
        }

        @Test
        void shouldSayWhenTheStoreLastResponded() {
            mReader.mState.recordResponse(StorePart.DOCUMENT);
            mReader.mState.recordResponse(StorePart.REGISTRY);
            mTime.advance(Duration.ofMillis(400));
            mFollower.mState.recordPeerResponse(
                    Duration.ofMillis(mReader.updateFor(mFollower).ages().storeMillis()));
            mFollower.mState.recordPeerResponse(Duration.ofSeconds(3));
            mTime.advance(Duration.ofMillis(100));
            assertThat(mFollower.mState.storeAge(StorePart.REGISTRY))
                    .hasValue(Duration.ofMillis(500));
        }
    }

    @Nested
    final class Document {
        @Test
        void shouldBePassedOnOnlyToInstancesWithAnEarlierOne() {
            byte[] source = {1, 2, 3};
            mReader.mState.recordDocument(new SourcedDocument(TestFleet.document(4), source));
            assertThat(mReader.updateFor(mFollower).documentSource().orElseThrow())
                    .isEqualTo(source);
            mFollower.mState.recordDocument(new SourcedDocument(TestFleet.document(5), source));
            assertThat(mReader.updateFor(mFollower).documentSource()).isEqualTo(Optional.empty());
            mFollower.mState.recordDocument(new SourcedDocument(TestFleet.document(4), source));
            assertThat(mFollower.mState.documentVersion()).isEqualTo(5);
        }
    }

    @Nested
    final class EvacuationsOfDataCentres {
        private final BackEnd mBackEnd = TestFleet.backEnd("one", TestFleet.CALLS, false);

        private OperatorChange evacuation(long version) {
            return new OperatorChange(
                    new StorePosition(1, version),
                    Optional.empty(),
                    Set.of(mBackEnd.dataCentre()),
                    Set.of(),
                    true);
        }

        @Test
        void shouldReachAnInstanceThatReadsNothingItself() {
            mReader.mState.recordOperatorChange(evacuation(12));
            mFollower.take(mReader.updateFor(mFollower));
            assertThat(mFollower.mState.hasEvacuations()).isTrue();
            assertThat(mFollower.mEvacuated.accepts(mBackEnd)).isFalse();
            assertThat(mReader.updateFor(mFollower).isEmpty()).isTrue();
        }

        @Test
        void shouldEndTheWaitOfAnotherInstanceAtOnce() throws InterruptedException {
            mReader.mState.setAvailable(StorePart.DOCUMENT, true);
            mReader.mState.setAvailable(StorePart.REGISTRY, true);
            CountDownLatch isReceived = new CountDownLatch(1);
            Tasks.start(
                    "await",
                    () -> {
                        FleetUpdate update =
                                mReader.mState.await(
                                        new PeerMessage.FleetRequest(
                                                0, new StorePosition(1, 10), 60_000),
                                        Duration.ofMinutes(1));
                        update.evacuations().ifPresent(each -> isReceived.countDown());
                    });
            mReader.mState.recordOperatorChange(evacuation(12));
            assertThat(isReceived.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }
}
