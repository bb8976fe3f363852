package org.rattanport.decisions.gateway.discovery;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.FleetSource;
import org.rattanport.kernel.gateway.FleetSource.OperatorChange;
import org.rattanport.kernel.gateway.RoutingDocument;
import org.rattanport.kernel.gateway.SourcedDocument;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** State of an instance while the store responds, has lost its history or is unavailable. */
final class FleetFollowerTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final ActiveRouting mRouting = new ActiveRouting(new EventStreams());
    private final BackEndRegistry mRegistry = TestFleet.registry(mTime);
    private final EvacuatedDataCentres mEvacuated =
            new EvacuatedDataCentres("a", change -> {}, mTime);
    private final ScriptedSource mSource = new ScriptedSource();
    private final FleetState mState =
            new FleetState(mRouting, mRegistry, mEvacuated, () -> {}, change -> {}, mTime);
    private final ReaderRole mRole = new ReaderRole();
    private final FleetFollower mFollower =
            new FleetFollower(mSource, mState, mRole, mTime, new Random(1));

    FleetFollowerTest() {
        mRole.set(ReaderRole.Role.READER);
    }

    private final BackEnd mOne = TestFleet.backEnd("one", TestFleet.CALLS, false);
    private final BackEnd mTwo = TestFleet.backEnd("two", TestFleet.CALLS, false);

    /** Returns scripted results; closes the follower when the script ends. */
    private final class ScriptedSource implements FleetSource {
        private final Deque<Supplier<RegistryChange>> mRegistryScript = new ArrayDeque<>();
        private final Deque<Supplier<OperatorChange>> mDocumentScript = new ArrayDeque<>();
        private final List<String> mCalls = new ArrayList<>();

        private <T> T next(Deque<Supplier<T>> script, T last) {
            if (script.isEmpty()) {
                mFollower.close();
                return last;
            }
            return script.removeFirst().get();
        }

        @Override
        public OperatorChange readOperatorTable(Deadline deadline) {
            mCalls.add("read");
            return next(mDocumentScript, empty(at(0), true));
        }

        @Override
        public OperatorChange awaitOperatorChange(StorePosition after, Duration maxWait) {
            mCalls.add("await " + after.version());
            return next(mDocumentScript, empty(after, false));
        }

        @Override
        public RoutingDocument parseDocument(byte[] source) {
            throw new UnsupportedOperationException("only readers' updates are parsed again");
        }

        @Override
        public RegistryChange readRegistry(Deadline deadline) {
            mCalls.add("read");
            return next(mRegistryScript, new RegistryChange(at(0), List.of(), List.of()));
        }

        @Override
        public RegistryChange awaitRegistryChange(StorePosition after, Duration maxWait) {
            mCalls.add("await " + after.version());
            return next(mRegistryScript, new RegistryChange(after, List.of(), List.of()));
        }
    }

    private static <T> Supplier<T> storeUnavailable() {
        return () -> {
            throw new RattanportException(ErrorCode.STORE_UNAVAILABLE, "away");
        };
    }

    private static <T> Supplier<T> noResponse() {
        return () -> {
            throw new RattanportException(ErrorCode.DEADLINE_EXCEEDED, "silent");
        };
    }

    private static <T> Supplier<T> historyLost() {
        return () -> {
            throw new FleetSource.HistoryLostException();
        };
    }

    private static StorePosition at(long version) {
        return new StorePosition(1, version);
    }

    private static Supplier<FleetSource.RegistryChange> change(
            long version, List<BackEnd> present, String... removed) {
        return () -> new FleetSource.RegistryChange(at(version), present, List.of(removed));
    }

    private static OperatorChange empty(StorePosition position, boolean isFull) {
        return new OperatorChange(position, Optional.empty(), Set.of(), Set.of(), isFull);
    }

    private static Supplier<OperatorChange> document(long position, long version) {
        return () ->
                new OperatorChange(
                        at(position),
                        Optional.of(new SourcedDocument(TestFleet.document(version), new byte[0])),
                        Set.of(),
                        Set.of(),
                        true);
    }

    @Nested
    final class Document {
        @Test
        void shouldContinueFromLastPosition() {
            mSource.mDocumentScript.addAll(List.of(document(10, 3), document(12, 4)));
            mFollower.followDocument();
            assertThat(mRouting.version()).isEqualTo(4);
            assertThat(mSource.mCalls).containsExactly("read", "await 10", "await 12").inOrder();
        }

        @Test
        void shouldReadInFullAfterHistoryGapWithoutDowngrade() {
            mSource.mDocumentScript.addAll(
                    List.of(document(10, 5), historyLost(), document(20, 4), document(21, 6)));
            mFollower.followDocument();
            assertThat(mRouting.version()).isEqualTo(6);
            assertThat(mSource.mCalls)
                    .containsExactly("read", "await 10", "read", "await 20", "await 21")
                    .inOrder();
        }

        /** Two answers of different eras would have been asked for in turn, without a pause. */
        @Test
        void shouldPauseWhenTheHistoryIsLostAgainAtOnce() {
            mSource.mDocumentScript.addAll(
                    List.of(document(10, 5), historyLost(), document(11, 5), historyLost()));
            long startNanos = mTime.nanoTime();
            mFollower.followDocument();
            assertThat(Duration.ofNanos(mTime.nanoTime() - startNanos))
                    .isAtLeast(Duration.ofMillis(100));
        }

        @Test
        void shouldRetainDocumentWhileStoreIsUnavailable() {
            mSource.mDocumentScript.addAll(
                    List.of(document(10, 5), storeUnavailable(), storeUnavailable()));
            mFollower.followDocument();
            assertThat(mRouting.version()).isEqualTo(5);
        }
    }

    @Nested
    final class EvacuationsOfDataCentres {
        private static Supplier<OperatorChange> evacuations(
                long position, boolean isFull, String... dataCentres) {
            return () ->
                    new OperatorChange(
                            at(position), Optional.empty(), Set.of(dataCentres), Set.of(), isFull);
        }

        @Test
        void shouldBeReadWithTheDocument() {
            mSource.mDocumentScript.addAll(
                    List.of(
                            evacuations(10, true),
                            evacuations(12, false, mOne.dataCentre()),
                            evacuations(14, false)));
            mFollower.followDocument();
            assertThat(mEvacuated.isEvacuated(mOne)).isTrue();
        }

        /** What is known holds while the store is down. */
        @Test
        void shouldHoldWhileStoreIsUnavailable() {
            mSource.mDocumentScript.addAll(
                    List.of(
                            evacuations(10, true, mOne.dataCentre()),
                            storeUnavailable(),
                            storeUnavailable()));
            mFollower.followDocument();
            assertThat(mEvacuated.isEvacuated(mOne)).isTrue();
        }
    }

    @Nested
    final class SilentConnections {
        /** A wait without a response was followed by a pause, and taken for an outage. */
        @Test
        void shouldBeReplacedAtOnce() {
            mSource.mRegistryScript.addAll(
                    List.of(
                            change(5, List.of(mOne, mTwo)),
                            noResponse(),
                            change(9, List.of(mTwo))));
            long startNanos = mTime.nanoTime();
            mFollower.followRegistry();
            assertThat(mSource.mCalls).containsExactly("read", "await 5", "read", "await 9");
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
            assertThat(Duration.ofNanos(mTime.nanoTime() - startNanos))
                    .isLessThan(Duration.ofMillis(400));
        }

        @Test
        void shouldCountAsAnOutageWhenANewOneIsSilentToo() {
            mSource.mRegistryScript.addAll(
                    List.of(
                            change(5, List.of(mOne, mTwo)),
                            noResponse(),
                            noResponse(),
                            change(9, List.of(mTwo))));
            mFollower.followRegistry();
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mOne, mTwo);
        }
    }

    @Nested
    final class Registry {
        @Test
        void shouldRemoveBackEndsMissingAfterHistoryGapAtOnce() {
            mSource.mRegistryScript.addAll(
                    List.of(
                            change(5, List.of(mOne, mTwo)),
                            historyLost(),
                            change(9, List.of(mTwo))));
            mFollower.followRegistry();
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
        }

        @Test
        void shouldRetainBackEndsMissingAfterOutageDuringGracePeriod() {
            mSource.mRegistryScript.addAll(
                    List.of(
                            change(5, List.of(mOne, mTwo)),
                            storeUnavailable(),
                            change(9, List.of(mTwo))));
            mFollower.followRegistry();
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mOne, mTwo);
            mTime.advance(Duration.ofSeconds(3));
            assertThat(mRegistry.available(TestFleet.CALLS)).containsExactly(mTwo);
        }
    }
}
