package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.RumorQueue;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.PeerHandler;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;

final class PeerWorkNotifierTest {
    private static final EngineWork WORK =
            new EngineWork(
                    "a",
                    List.of(new EngineShare("engine", 5_000, 20, 6_000, true)),
                    60,
                    900,
                    200,
                    1);

    private final SystemTimeSource mTime = new SystemTimeSource();
    private final WorkTracker mTracker = new WorkTracker(mTime);
    private final MemberTable mMembers =
            new MemberTable(member("self"), new RumorQueue(), new EventStreams());
    private final FakePeers mPeers = new FakePeers();
    private final PeerWorkNotifier mNotifier =
            new PeerWorkNotifier(mTracker, mMembers, mPeers, mTime);

    PeerWorkNotifierTest() {
        mMembers.merge(member("other"));
    }

    @AfterEach
    void close() {
        mNotifier.close();
    }

    private static Member member(String name) {
        return new Member(
                new InstanceId(name, 1), "c-" + name, "p-" + name, "z", MemberState.ALIVE, 0);
    }

    /** Accepts updates, or fails while the peer is unreachable. */
    private static final class FakePeers implements PeerNetwork {
        private final CountDownLatch mSent = new CountDownLatch(1);
        private volatile boolean mIsReachable = true;

        @Override
        public PeerMessage call(String peerAddress, PeerMessage request, Deadline deadline) {
            throw new UnsupportedOperationException("work updates have no response");
        }

        @Override
        public void send(String peerAddress, PeerMessage message, Deadline connectDeadline) {
            mSent.countDown();
            if (!mIsReachable) {
                throw new RattanportException(ErrorCode.PEER_UNREACHABLE, "gone");
            }
        }

        @Override
        public <T extends PeerMessage> void registerHandler(
                Class<T> type, PeerHandler<T> handler) {}
    }

    @Nested
    final class Sending {
        @Test
        void shouldRecordLocallyAndNotifyPeers() throws InterruptedException {
            mNotifier.placed(WORK);
            assertThat(mTracker.estimateLoad("engine").decodes()).hasSize(1);
            assertThat(mPeers.mSent.await(20, TimeUnit.SECONDS)).isTrue();
            mNotifier.ended("a");
            assertThat(mTracker.size()).isEqualTo(0);
        }
    }

    @Nested
    final class UnreachablePeer {
        @Test
        void shouldBecomeSuspect() throws InterruptedException {
            mPeers.mIsReachable = false;
            CountDownLatch suspected = new CountDownLatch(1);
            mMembers.memberChanges()
                    .filter(each -> each.state() == MemberState.SUSPECT)
                    .subscribe(each -> suspected.countDown());
            mNotifier.placed(WORK);
            assertThat(suspected.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(mMembers.aliveMembers()).hasSize(1);
        }
    }
}
