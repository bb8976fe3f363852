package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.gateway.discovery.RoutingVersions;
import org.rattanport.decisions.membership.Gossip;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.RumorQueue;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.MemberDirectory;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.PeerHandler;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** Instances that start while their seeds do not answer. */
final class MemberSearchTest {
    /** Time after which an instance that serves must know the others. */
    private static final Duration MAX_SEARCH_TIME = Duration.ofSeconds(3);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final PeerHub mHub = new PeerHub();
    private final Directory mDirectory = new Directory();
    private final Map<String, Instance> mInstances = new HashMap<>();

    private static final class Directory implements MemberDirectory {
        private final Map<String, String> mAddresses = new TreeMap<>();
        private int mReads;
        private boolean mIsAway;

        @Override
        public void register(String name, String peerAddress, Deadline deadline) {
            requireThere();
            mAddresses.put(name, peerAddress);
        }

        @Override
        public long era() {
            return 0;
        }

        @Override
        public List<String> peerAddresses(Deadline deadline) {
            requireThere();
            mReads++;
            return List.copyOf(mAddresses.values());
        }

        private void requireThere() {
            if (mIsAway) {
                throw new RattanportException(ErrorCode.TARGET_FAILED, "the store is away");
            }
        }
    }

    /** A network in which a call to an address that nobody has lasts until its deadline. */
    private final class HangingNetwork implements PeerNetwork {
        private final PeerNetwork mNetwork;

        HangingNetwork(String address) {
            mNetwork = mHub.networkOf(address);
        }

        @Override
        public PeerMessage call(String peerAddress, PeerMessage request, Deadline deadline) {
            if (!mInstances.containsKey(peerAddress)) {
                mTime.advance(deadline.remaining(mTime));
                throw new RattanportException(ErrorCode.PEER_UNREACHABLE, "no answer");
            }
            return mNetwork.call(peerAddress, request, deadline);
        }

        @Override
        public void send(String peerAddress, PeerMessage message, Deadline deadline) {
            mNetwork.send(peerAddress, message, deadline);
        }

        @Override
        public <T extends PeerMessage> void registerHandler(Class<T> type, PeerHandler<T> handler) {
            mNetwork.registerHandler(type, handler);
        }
    }

    private final class Instance {
        private final MemberTable mTable;
        private final MemberSearch mSearch;

        Instance(String name, boolean isReader, List<String> seeds) {
            Member self =
                    new Member(
                            new InstanceId(name, 1),
                            name + ":caller",
                            name,
                            "zone",
                            MemberState.ALIVE,
                            0);
            EventStreams events = new EventStreams();
            RumorQueue rumors = new RumorQueue();
            mTable = new MemberTable(self, rumors, events);
            Gossip gossip =
                    new Gossip(
                            mTable,
                            rumors,
                            new HangingNetwork(name),
                            new RoutingVersions(new ActiveRouting(events)),
                            (peer, stage, version) -> {},
                            rumor -> {});
            gossip.registerHandlers(Duration.ofMillis(400), mTime);
            mSearch = new MemberSearch(seeds, mDirectory, mTable, gossip, () -> isReader, mTime);
            mInstances.put(name, this);
        }

        List<String> knownNames() {
            return mTable.members().stream().map(each -> each.id().name()).sorted().toList();
        }
    }

    /** Two instances that have met; the first one reads the store. */
    private void startRunning() {
        Instance reader = new Instance("reader", true, List.of("other"));
        Instance other = new Instance("other", false, List.of("reader"));
        other.mSearch.runRound();
        reader.mSearch.runRound();
        assertThat(mDirectory.mAddresses).containsExactly("reader", "reader");
    }

    @Nested
    final class SilentSeeds {
        private static final List<String> SILENT = List.of("gone-1", "gone-2", "gone-3");

        /** An instance was alone for 25 s, and owned limits of back ends by itself. */
        @Test
        void shouldBeReplacedByTheDirectoryWithinSeconds() {
            startRunning();
            Instance added = new Instance("added", false, SILENT);
            long startNanos = mTime.nanoTime();
            added.mSearch.runRound();
            assertThat(added.knownNames()).containsExactly("added", "other", "reader");
            assertThat(Duration.ofNanos(mTime.nanoTime() - startNanos)).isLessThan(MAX_SEARCH_TIME);
            assertThat(mDirectory.mAddresses).hasSize(1);
        }

        @Test
        void shouldLeaveTheSearchIncompleteUntilTheDirectoryNamesNobodyEither() {
            Instance lone = new Instance("lone", true, SILENT);
            lone.mSearch.runRound();
            assertThat(lone.mSearch.isComplete()).isFalse();
            lone.mSearch.runRound();
            assertThat(lone.mSearch.isComplete()).isTrue();
            assertThat(mDirectory.mAddresses).containsExactly("lone", "lone");
        }

        @Test
        void shouldLeaveTheSearchIncompleteWhileTheDirectoryIsAway() {
            Instance lone = new Instance("lone", true, SILENT);
            mDirectory.mIsAway = true;
            for (int round = 0; round < 5; round++) {
                assertThrows(RattanportException.class, lone.mSearch::runRound);
            }
            assertThat(lone.mSearch.isComplete()).isFalse();
        }
    }

    @Nested
    final class FleetOfOne {
        /** A fleet of one had no slack for repeats in its first seconds. */
        @Test
        void shouldKnowAtOnceThatItIsAlone() {
            assertThat(new Instance("lone", true, List.of("lone")).mSearch.isComplete()).isTrue();
            assertThat(new Instance("one", true, List.of()).mSearch.isComplete()).isTrue();
            assertThat(new Instance("two", true, List.of("one", "two")).mSearch.isComplete())
                    .isFalse();
        }
    }

    @Nested
    final class SeparateParts {
        /** Instances whose seeds were of their own part never looked for another one. */
        @Test
        void shouldFindEachOtherThroughTheirReaders() {
            startRunning();
            Instance addedReader = new Instance("added-reader", true, List.of("added"));
            Instance added = new Instance("added", false, List.of("added-reader"));
            added.mSearch.runRound();
            addedReader.mSearch.runRound();
            assertThat(addedReader.knownNames())
                    .containsExactly("added", "added-reader", "other", "reader");
        }

        @Test
        void shouldReadTheDirectoryOnceIfTheyHaveMet() {
            startRunning();
            int reads = mDirectory.mReads;
            List<Instance> all = new ArrayList<>(mInstances.values());
            all.forEach(each -> each.mSearch.runRound());
            assertThat(mDirectory.mReads).isEqualTo(reads);
            assertThat(reads).isEqualTo(1);
        }
    }
}
