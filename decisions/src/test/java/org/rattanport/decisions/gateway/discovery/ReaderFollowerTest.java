package org.rattanport.decisions.gateway.discovery;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.RumorQueue;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.Evacuations;
import org.rattanport.kernel.gateway.FleetSource;
import org.rattanport.kernel.gateway.FleetSource.OperatorChange;
import org.rattanport.kernel.gateway.FleetSource.RegistryChange;
import org.rattanport.kernel.gateway.FleetUpdate;
import org.rattanport.kernel.gateway.FleetUpdate.EvacuationUpdate;
import org.rattanport.kernel.gateway.FleetUpdate.RegistryUpdate;
import org.rattanport.kernel.gateway.RoutingDocument;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.PeerHandler;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** Reads by peers, and the moment at which an instance reads the store itself. */
final class ReaderFollowerTest {
    private static final RegistryChange CHANGE =
            new RegistryChange(
                    new StorePosition(1, 10),
                    List.of(TestFleet.backEnd("one", TestFleet.CALLS, false)),
                    List.of());

    private static final EvacuationUpdate NO_EVACUATIONS =
            new EvacuationUpdate(new Evacuations(new StorePosition(1, 10), Set.of()), 0);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final MemberTable mMembers =
            new MemberTable(member("self"), new RumorQueue(), new EventStreams());
    private final BackEndRegistry mRegistry = TestFleet.registry(mTime);
    private final EvacuatedDataCentres mEvacuated =
            new EvacuatedDataCentres("self", change -> {}, mTime);
    private final FleetState mState =
            new FleetState(
                    new ActiveRouting(new EventStreams()),
                    mRegistry,
                    mEvacuated,
                    () -> {},
                    change -> {},
                    mTime);
    private ReaderRole mRole = new ReaderRole();
    private final ScriptedReaders mPeers = new ScriptedReaders();
    private final ReaderFollower mFollower = follower(true);

    private ReaderFollower follower(boolean isFirstStart) {
        return new ReaderFollower(
                new StoreReaders(mMembers),
                mRole,
                mState,
                new NoSource(),
                mPeers,
                isFirstStart,
                mTime);
    }

    private static Member member(String name) {
        return new Member(new InstanceId(name, 1), "c-" + name, name, name, MemberState.ALIVE, 0);
    }

    /** Readers that respond, have no store, or are silent. */
    private final class ScriptedReaders implements PeerNetwork {
        private boolean mIsSilent;
        private boolean mHasStore = true;
        private Optional<RegistryUpdate> mUpdate = Optional.empty();
        private Optional<EvacuationUpdate> mEvacuations = Optional.of(NO_EVACUATIONS);
        private int mCallsUntilClose = 20;
        private final List<Long> mWaits = new ArrayList<>();

        @Override
        public PeerMessage call(String peerAddress, PeerMessage request, Deadline deadline) {
            if (--mCallsUntilClose == 0) {
                mRole.close();
            }
            mWaits.add(((PeerMessage.FleetRequest) request).maxWaitMillis());
            mTime.advance(Duration.ofMillis(500));
            if (mIsSilent) {
                throw new RattanportException(ErrorCode.PEER_UNREACHABLE, "silent");
            }
            return new PeerMessage.FleetReply(
                    new FleetUpdate(
                            mHasStore,
                            new FleetUpdate.Ages(0, 0, 0),
                            Optional.empty(),
                            mUpdate,
                            mEvacuations));
        }

        @Override
        public void send(String peerAddress, PeerMessage message, Deadline deadline) {}

        @Override
        public <T extends PeerMessage> void registerHandler(
                Class<T> type, PeerHandler<T> handler) {}
    }

    private static final class NoSource implements FleetSource {
        @Override
        public OperatorChange readOperatorTable(Deadline deadline) {
            throw new UnsupportedOperationException();
        }

        @Override
        public OperatorChange awaitOperatorChange(StorePosition after, Duration maxWait) {
            throw new UnsupportedOperationException();
        }

        @Override
        public RoutingDocument parseDocument(byte[] source) {
            return TestFleet.document(source[0]);
        }

        @Override
        public RegistryChange readRegistry(Deadline deadline) {
            throw new UnsupportedOperationException();
        }

        @Override
        public RegistryChange awaitRegistryChange(StorePosition after, Duration maxWait) {
            throw new UnsupportedOperationException();
        }
    }

    /** Adds a reader in this instance's data centre, so that this instance is none. */
    private void addReaders() {
        mMembers.markState(mMembers.self().id(), MemberState.ALIVE);
        mMembers.merge(
                new Member(
                        new InstanceId("reader-b", 1), "c", "reader-b", "b", MemberState.ALIVE, 0));
        for (int i = 0; new StoreReaders(mMembers).isReader(); i++) {
            mMembers.merge(
                    new Member(
                            new InstanceId("reader-" + i, 1),
                            "c",
                            "reader-" + i,
                            "self",
                            MemberState.ALIVE,
                            0));
        }
    }

    @Nested
    final class Follower {
        @Test
        void shouldApplyWhatAReaderHasRead() {
            addReaders();
            mPeers.mUpdate = Optional.of(new RegistryUpdate(CHANGE, true, false));
            mFollower.followUntilClosed();
            assertThat(mRegistry.available(TestFleet.CALLS))
                    .containsExactlyElementsIn(CHANGE.present());
            assertThat(mRole.current()).isEqualTo(ReaderRole.Role.FOLLOWER);
        }

        @Test
        void shouldReadTheStoreWhenReadersAreSilent() {
            addReaders();
            mPeers.mIsSilent = true;
            mFollower.followUntilClosed();
            assertThat(mRole.current()).isEqualTo(ReaderRole.Role.STAND_IN);
        }

        @Test
        void shouldReadTheStoreWhenItRespondsToNoReader() {
            addReaders();
            mPeers.mHasStore = false;
            mFollower.followUntilClosed();
            assertThat(mRole.current()).isEqualTo(ReaderRole.Role.STAND_IN);
        }
    }

    @Nested
    final class StartingInstance {
        private ReaderRole.Role roleAfterTwoRequests(boolean isFirstStart) {
            addReaders();
            mPeers.mHasStore = false;
            mPeers.mCallsUntilClose = 2;
            follower(isFirstStart).followUntilClosed();
            return mRole.current();
        }

        @Test
        void shouldReadTheStoreAtOnceAfterARestartOfAll() {
            assertThat(roleAfterTwoRequests(false)).isEqualTo(ReaderRole.Role.STAND_IN);
        }

        @Test
        void shouldNotWaitForAChangeBeforeItHasBeenServed() {
            addReaders();
            mPeers.mCallsUntilClose = 2;
            mFollower.followUntilClosed();
            assertThat(mPeers.mWaits.getFirst()).isEqualTo(0);
            assertThat(mPeers.mWaits.getLast()).isGreaterThan(0);
        }

        @Test
        void shouldWaitForReadersAtTheFirstStart() {
            assertThat(roleAfterTwoRequests(true)).isEqualTo(ReaderRole.Role.FOLLOWER);
        }
    }

    @Nested
    final class UnknownEvacuations {
        /** An instance would have waited for a reader that says nothing about evacuations. */
        @Test
        void shouldBeReadFromTheStore() {
            addReaders();
            mPeers.mEvacuations = Optional.empty();
            mFollower.followUntilClosed();
            assertThat(mRole.current()).isEqualTo(ReaderRole.Role.STAND_IN);
        }

        @Test
        void shouldBeTakenFromAReader() {
            addReaders();
            BackEnd backEnd = CHANGE.present().getFirst();
            mPeers.mEvacuations =
                    Optional.of(
                            new EvacuationUpdate(
                                    new Evacuations(
                                            new StorePosition(1, 10), Set.of(backEnd.dataCentre())),
                                    0));
            mFollower.followUntilClosed();
            assertThat(mEvacuated.isEvacuated(backEnd)).isTrue();
            assertThat(mRole.current()).isEqualTo(ReaderRole.Role.FOLLOWER);
        }
    }

    @Nested
    final class Reader {
        @Test
        void shouldReadTheStoreAlthoughOtherReadersRespond() {
            mMembers.merge(member("b"));
            mFollower.followUntilClosed();
            assertThat(mRole.current()).isEqualTo(ReaderRole.Role.READER);
        }
    }

    /** A change of the store that all readers but two have at once. */
    @Nested
    final class ReadersInTrouble {
        /** The bound of two seconds less the delay that batches changes of the registry. */
        private static final Duration MAX_DELAY = Duration.ofMillis(1_700);

        private static final Duration MAX_TIME = Duration.ofSeconds(10);

        /** Numbers of requests after which the change comes; each is another moment of a round. */
        private static final int PHASES = 12;

        /** Readers of which some are in trouble from the moment of the change on. */
        private final class ReadersWithTrouble implements PeerNetwork {
            private final Set<String> mInTrouble;
            private final boolean mAreSilent;
            private int mCallsUntilChange;
            private long mChangeNanos;

            private ReadersWithTrouble(Set<String> inTrouble, boolean areSilent, int phase) {
                mInTrouble = inTrouble;
                mAreSilent = areSilent;
                mCallsUntilChange = phase;
            }

            @Override
            public PeerMessage call(String peerAddress, PeerMessage request, Deadline deadline) {
                if (--mCallsUntilChange == 0) {
                    mChangeNanos = mTime.nanoTime();
                }
                PeerMessage.FleetRequest fleet = (PeerMessage.FleetRequest) request;
                boolean hasChanged = mCallsUntilChange <= 0;
                boolean isStandIn = mRole.current() == ReaderRole.Role.STAND_IN;
                if (hasChanged && (isStandIn || !mInTrouble.contains(peerAddress))) {
                    mRole.close();
                    return reply();
                }
                if (hasChanged && mAreSilent) {
                    mTime.advance(deadline.remaining(mTime));
                    throw new RattanportException(ErrorCode.PEER_UNREACHABLE, "silent");
                }
                mTime.advance(Duration.ofMillis(fleet.maxWaitMillis()));
                if (hasChanged && delay().compareTo(MAX_TIME) > 0) {
                    mRole.close();
                }
                return reply();
            }

            private PeerMessage reply() {
                return new PeerMessage.FleetReply(
                        new FleetUpdate(
                                true,
                                new FleetUpdate.Ages(0, 0, 0),
                                Optional.empty(),
                                Optional.empty(),
                                Optional.of(NO_EVACUATIONS)));
            }

            private Duration delay() {
                return Duration.ofNanos(mTime.nanoTime() - mChangeNanos);
            }

            @Override
            public void send(String peerAddress, PeerMessage message, Deadline deadline) {}

            @Override
            public <T extends PeerMessage> void registerHandler(
                    Class<T> type, PeerHandler<T> handler) {}
        }

        private void addDataCentres() {
            addReaders();
            List.of("b", "c")
                    .forEach(
                            dataCentre ->
                                    List.of("one", "two")
                                            .forEach(name -> addReader(dataCentre, name)));
        }

        private void addReader(String dataCentre, String name) {
            String address = dataCentre + "-" + name;
            mMembers.merge(
                    new Member(
                            new InstanceId(address, 1),
                            "c",
                            address,
                            dataCentre,
                            MemberState.ALIVE,
                            0));
        }

        private Stream<Set<String>> pairs() {
            List<String> addresses =
                    new StoreReaders(mMembers).others().stream().map(Member::peerAddress).toList();
            return addresses.stream()
                    .flatMap(
                            one ->
                                    addresses.stream()
                                            .filter(other -> one.compareTo(other) < 0)
                                            .map(other -> Set.of(one, other)));
        }

        private Duration delay(Set<String> inTrouble, boolean areSilent, int phase) {
            ReaderRole role = new ReaderRole();
            ReadersWithTrouble peers = new ReadersWithTrouble(inTrouble, areSilent, phase);
            mRole = role;
            new ReaderFollower(
                            new StoreReaders(mMembers),
                            role,
                            mState,
                            new NoSource(),
                            peers,
                            true,
                            mTime)
                    .followUntilClosed();
            return peers.delay();
        }

        private void checkAllPairs(boolean areSilent) {
            addDataCentres();
            pairs().forEach(
                            pair ->
                                    IntStream.rangeClosed(2, PHASES)
                                            .forEach(
                                                    phase ->
                                                            assertWithMessage(
                                                                            pair + " after "
                                                                                    + phase)
                                                                    .that(
                                                                            delay(
                                                                                    pair, areSilent,
                                                                                    phase))
                                                                    .isAtMost(MAX_DELAY)));
        }

        /** Requests of an instance were routed by an old document while two readers were paused. */
        @Test
        void shouldNotDelayAChangeWhenAnyTwoAreSilent() {
            checkAllPairs(true);
        }

        /** A reader that hears nothing from the store, and does not know it, still responds. */
        @Test
        void shouldNotDelayAChangeWhenAnyTwoAreBehind() {
            checkAllPairs(false);
        }
    }

    @Nested
    final class WaitingForTheRole {
        @AfterEach
        void close() {
            mRole.close();
        }

        @Test
        void shouldEndWhenTheInstanceBecomesAReader() throws InterruptedException {
            CountDownLatch isReading = new CountDownLatch(1);
            Tasks.start(
                    "wait",
                    () -> {
                        mRole.awaitReading();
                        isReading.countDown();
                    });
            mRole.set(ReaderRole.Role.READER);
            assertThat(isReading.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }
}
