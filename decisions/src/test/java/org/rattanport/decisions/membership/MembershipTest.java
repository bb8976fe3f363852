package org.rattanport.decisions.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.DocumentVersion;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.PeerHandler;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.peer.Rumor;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** Runs several members that probe each other over an in-memory network, round by round. */
final class MembershipTest {
    private static final int SUSPICION_ROUNDS = 5;
    private static final int REJOIN_ROUNDS = 5;

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final Map<String, Node> mNodes = new ConcurrentHashMap<>();
    private final Set<String> mBlockedLinks = ConcurrentHashMap.newKeySet();

    @Nested
    final class Joining {
        @ParameterizedTest
        @ValueSource(ints = {3, 18, 60})
        void shouldConvergeWithinSixtyRounds(int size) {
            startNodes(size);
            runRounds(60);
            mNodes.values().forEach(node -> assertThat(node.mTable.aliveMembers()).hasSize(size));
        }
    }

    @Nested
    final class MemberFailure {
        @ParameterizedTest
        @ValueSource(ints = {3, 18})
        void shouldBeDetectedByAllWithoutFalsePositives(int size) {
            startNodes(size);
            runRounds(12);
            isolate("node-1");
            runRounds(2 * size + SUSPICION_ROUNDS + 20);
            others("node-1")
                    .forEach(
                            node -> {
                                assertThat(node.state("node-1")).isEqualTo(MemberState.DEAD);
                                assertThat(node.mTable.aliveMembers()).hasSize(size - 1);
                            });
        }

        @Test
        void shouldEndOnlyTheFailedIncarnation() {
            startNodes(3);
            runRounds(8);
            isolate("node-1");
            runRounds(30);
            InstanceId old = new InstanceId("node-1", 1);
            mBlockedLinks.clear();
            mNodes.put("node-1", new Node("node-1", 2, 99));
            mNodes.get("node-1").join("node-0");
            runRounds(20);
            Node observer = mNodes.get("node-0");
            assertThat(observer.mTable.hasEnded(old)).isTrue();
            assertThat(observer.mTable.hasEnded(new InstanceId("node-1", 2))).isFalse();
            assertThat(observer.mTable.aliveMembers()).hasSize(3);
        }
    }

    @Nested
    final class ProcessPause {
        @Test
        void shouldBeRefutedBeforeTheSuspicionTimeout() {
            startNodes(6);
            runRounds(10);
            mNodes.get("node-2").mIsPaused = true;
            runRounds(3);
            mNodes.get("node-2").mIsPaused = false;
            runRounds(25);
            mNodes.values().forEach(node -> assertThat(node.mTable.aliveMembers()).hasSize(6));
        }

        @Test
        void shouldNotMakeThePausedMemberSuspectOthers() {
            startNodes(6);
            runRounds(10);
            Node paused = mNodes.get("node-2");
            paused.mIsPaused = true;
            mTime.advance(Duration.ofMinutes(10));
            paused.mIsPaused = false;
            paused.mProber.runRound();
            assertThat(paused.mTable.aliveMembers()).hasSize(6);
        }

        @Test
        void shouldAllowRejoiningAfterDeclaredDead() {
            startNodes(4);
            runRounds(10);
            mNodes.get("node-2").mIsPaused = true;
            runRounds(40);
            assertThat(mNodes.get("node-0").state("node-2")).isEqualTo(MemberState.DEAD);
            mNodes.get("node-2").mIsPaused = false;
            runRounds(60);
            mNodes.values().forEach(node -> assertThat(node.mTable.aliveMembers()).hasSize(4));
        }
    }

    @Nested
    final class Partition {
        @Test
        void shouldHeal() {
            startNodes(8);
            runRounds(12);
            Set<String> left = Set.of("node-0", "node-1", "node-2", "node-3");
            partition(left);
            runRounds(60);
            assertThat(mNodes.get("node-0").mTable.aliveMembers()).hasSize(4);
            assertThat(mNodes.get("node-7").mTable.aliveMembers()).hasSize(4);
            mBlockedLinks.clear();
            runRounds(120);
            mNodes.values()
                    .forEach(
                            node ->
                                    assertWithMessage(node.mName)
                                            .that(node.mTable.aliveMembers())
                                            .hasSize(8));
        }
    }

    @Nested
    final class Leaving {
        @Test
        void shouldReachAllMembers() {
            startNodes(6);
            runRounds(10);
            mNodes.get("node-3").mTable.announce(MemberState.LEAVING);
            runRounds(10);
            mNodes.values()
                    .forEach(
                            node ->
                                    assertThat(node.state("node-3"))
                                            .isEqualTo(MemberState.LEAVING));
        }
    }

    @Nested
    final class Dissemination {
        @Test
        void shouldReachAllMembersAndThenStop() {
            startNodes(18);
            runRounds(30);
            Rumor rumor =
                    new Rumor.TargetDraining(new org.rattanport.kernel.model.TargetId("e", 1));
            mNodes.get("node-0").receiveRumor(rumor);
            runRounds(20);
            mNodes.values().forEach(node -> assertThat(node.mReceivedRumors).contains(rumor.key()));
            runRounds(40);
            mNodes.values().forEach(node -> assertThat(node.mRumors.take(18)).isEmpty());
        }

        @Test
        void shouldReachAllMembersWithoutAProbeWhenUrgent() throws InterruptedException {
            startNodes(60);
            runRounds(30);
            CountDownLatch missing = new CountDownLatch(60);
            mNodes.values()
                    .forEach(
                            node ->
                                    node.mOnNewRumor =
                                            () -> {
                                                missing.countDown();
                                                node.mPusher.requestPush();
                                            });
            mNodes.get("node-0")
                    .receiveRumor(
                            new Rumor.TargetDraining(
                                    new org.rattanport.kernel.model.TargetId("e", 1)));
            assertThat(missing.await(20, TimeUnit.SECONDS)).isTrue();
        }

        @Test
        void shouldLimitRumorsPerMessage() {
            RumorQueue queue = new RumorQueue();
            for (int i = 0; i < 500; i++) {
                queue.add(
                        new Rumor.TargetDraining(
                                new org.rattanport.kernel.model.TargetId("e" + i, 1)));
            }
            assertThat(queue.take(300)).hasSize(12);
        }
    }

    private void startNodes(int size) {
        for (int i = 0; i < size; i++) {
            String name = "node-" + i;
            mNodes.put(name, new Node(name, 1, i));
        }
        for (int i = 1; i < size; i++) {
            mNodes.get("node-" + i).join("node-" + (i - 1));
        }
    }

    private void runRounds(int count) {
        for (int i = 0; i < count; i++) {
            mNodes.values().stream()
                    .filter(node -> !node.mIsPaused)
                    .forEach(node -> node.mProber.runRound());
            mTime.advance(Duration.ofSeconds(1));
        }
    }

    private List<Node> others(String name) {
        return mNodes.values().stream().filter(node -> !node.mName.equals(name)).toList();
    }

    private void isolate(String name) {
        partition(Set.of(name));
    }

    private void partition(Set<String> side) {
        Set<String> names = new HashSet<>(mNodes.keySet());
        names.forEach(
                left ->
                        names.stream()
                                .filter(right -> side.contains(left) != side.contains(right))
                                .forEach(right -> mBlockedLinks.add(left + ">" + right)));
    }

    /** One member; it is its own peer network and delivers requests to the other nodes directly. */
    private final class Node implements PeerNetwork {
        private final String mName;
        private final RumorQueue mRumors = new RumorQueue();
        private final MemberTable mTable;
        private final Gossip mGossip;
        private final Prober mProber;
        private final Map<Class<?>, PeerHandler<?>> mHandlers = new HashMap<>();
        private final List<String> mReceivedRumors = new ArrayList<>();
        private final RumorPusher mPusher;
        private volatile boolean mIsPaused;
        private volatile Runnable mOnNewRumor = () -> {};

        private Node(String name, long incarnation, long seed) {
            mName = name;
            Member self =
                    new Member(
                            new InstanceId(name, incarnation),
                            name,
                            name,
                            "dc",
                            MemberState.ALIVE,
                            0);
            mTable = new MemberTable(self, mRumors, new EventStreams());
            mGossip =
                    new Gossip(
                            mTable,
                            mRumors,
                            this,
                            new NoActiveEnvironments(),
                            (address, stage, version) -> {},
                            this::receiveRumor);
            mGossip.registerHandlers(Duration.ofMillis(400), mTime);
            mProber =
                    new Prober(
                            mTable,
                            mGossip,
                            this,
                            new ProbeSettings(
                                    Duration.ofMillis(400), 3, SUSPICION_ROUNDS, REJOIN_ROUNDS),
                            mTime,
                            new Random(seed));
            mPusher = new RumorPusher(mProber, mTime);
        }

        @Override
        public void send(String peerAddress, PeerMessage message, Deadline connectDeadline) {
            throw new UnsupportedOperationException("membership sends requests only");
        }

        private void join(String address) {
            mGossip.join(address, new Deadline(Long.MAX_VALUE));
        }

        private synchronized void receiveRumor(Rumor rumor) {
            if (!mReceivedRumors.contains(rumor.key())) {
                mReceivedRumors.add(rumor.key());
                mRumors.add(rumor);
                mOnNewRumor.run();
            }
        }

        private MemberState state(String name) {
            return mTable.find(name).orElseThrow().state();
        }

        @Override
        public PeerMessage call(String address, PeerMessage request, Deadline deadline) {
            Node other = mNodes.get(address);
            if (other == null || other.mIsPaused || mBlockedLinks.contains(mName + ">" + address)) {
                throw new RattanportException(ErrorCode.PEER_UNREACHABLE, "cut");
            }
            return other.respond(request);
        }

        @SuppressWarnings("unchecked")
        private <T extends PeerMessage> PeerMessage respond(PeerMessage request) {
            PeerHandler<T> handler = (PeerHandler<T>) mHandlers.get(request.getClass());
            return handler.handle((T) request);
        }

        @Override
        public <T extends PeerMessage> void registerHandler(Class<T> type, PeerHandler<T> handler) {
            mHandlers.put(type, handler);
        }
    }

    private static final class NoActiveEnvironments implements ActiveEnvironments {
        @Override
        public Optional<ActiveEnvironment> current(Stage stage) {
            return Optional.empty();
        }

        @Override
        public boolean activateIfNewer(DocumentVersion version) {
            return false;
        }

        @Override
        public io.reactivex.rxjava3.core.Flowable<ActiveEnvironment> changes() {
            return io.reactivex.rxjava3.core.Flowable.never();
        }
    }
}
