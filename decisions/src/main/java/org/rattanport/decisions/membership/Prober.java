package org.rattanport.decisions.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.model.RendezvousHash;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerMessage.IndirectAck;
import org.rattanport.kernel.peer.PeerMessage.IndirectPing;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * The SWIM failure detector. Each round probes one member. An instance probes only the members at
 * distances of powers of two from it, in a ring that all instances order alike: each member is
 * probed equally often, rumors reach all members in few rounds, and the connections of an instance
 * grow with the logarithm of the cluster. A member that acknowledges neither a direct ping nor an
 * indirect one becomes suspect, and dead if it does not refute the suspicion in time. The timeout
 * is counted in local rounds, so an instance that was paused does not declare members dead for the
 * time of its own pause.
 */
public final class Prober {
    private static final Logger LOGGER = Logger.getLogger(Prober.class);

    /** Members up to which each round probes one of them; beyond, every other round does. */
    private static final int MAX_SMALL_CLUSTER = 32;

    private static final String RING_KEY = "probe-ring";

    private final MemberTable mTable;
    private final Gossip mGossip;
    private final PeerNetwork mPeers;
    private final ProbeSettings mSettings;
    private final TimeSource mTime;
    private final Random mRandom;
    private final Deque<String> mProbeOrder = new ArrayDeque<>();
    private final Map<InstanceId, Integer> mSuspectedRounds = new HashMap<>();
    private int mRoundCount;

    public Prober(
            MemberTable table,
            Gossip gossip,
            PeerNetwork peers,
            ProbeSettings settings,
            TimeSource time,
            Random random) {
        mTable = table;
        mGossip = gossip;
        mPeers = peers;
        mSettings = settings;
        mTime = time;
        mRandom = random;
    }

    /** Probes the next member and declares members dead whose suspicion timeout has expired. */
    public void runRound() {
        mRoundCount++;
        // A member of a large cluster is probed by more others.
        if (mTable.members().size() <= MAX_SMALL_CLUSTER || mRoundCount % 2 == 0) {
            nextMember().ifPresent(this::probe);
        }
        if (mRoundCount % mSettings.rejoinRounds() == 0) {
            probeDeadMember();
        }
        expireSuspicions();
    }

    private java.util.Optional<Member> nextMember() {
        if (mProbeOrder.isEmpty()) {
            List<String> names = ringNeighbours();
            Collections.shuffle(names, mRandom);
            mProbeOrder.addAll(names);
        }
        return java.util.Optional.ofNullable(mProbeOrder.poll())
                .flatMap(mTable::find)
                .filter(each -> each.state() != MemberState.DEAD);
    }

    private List<String> ringNeighbours() {
        List<String> ring =
                RendezvousHash.order(RING_KEY, mTable.members(), each -> each.id().name()).stream()
                        .map(each -> each.id().name())
                        .toList();
        int position = ring.indexOf(mTable.self().id().name());
        List<String> neighbours = new ArrayList<>();
        for (int distance = 1; distance < ring.size(); distance *= 2) {
            neighbours.add(ring.get((position + distance) % ring.size()));
        }
        return neighbours;
    }

    /** Pings all ring neighbours at once, to pass on rumors; a failed ping has no consequence. */
    public void pingNeighbours() {
        ringNeighbours().stream()
                .flatMap(name -> mTable.find(name).stream())
                .filter(each -> each.state() != MemberState.DEAD)
                .forEach(each -> Tasks.start("push-rumors-to-member", () -> ping(each)));
    }

    /** Probes at once the member to which a connection broke, as its process may have ended. */
    public void probeLostPeer(String peerAddress) {
        mTable.aliveMembers().stream()
                .filter(each -> each.peerAddress().equals(peerAddress))
                .filter(each -> !each.id().equals(mTable.self().id()))
                .forEach(each -> Tasks.start("probe-lost-peer", () -> probe(each)));
    }

    private void probe(Member member) {
        if (!ping(member) && !pingIndirectly(member)) {
            LOGGER.debugf(
                    "member %s acknowledged neither a direct nor an indirect ping", member.id());
            mTable.markState(member.id(), MemberState.SUSPECT);
        }
    }

    private boolean ping(Member member) {
        try {
            Deadline deadline = Deadline.after(mTime, mSettings.timeout());
            return mGossip.ping(member.peerAddress(), deadline);
        } catch (RattanportException e) {
            return false;
        }
    }

    private boolean pingIndirectly(Member member) {
        List<Member> others = new ArrayList<>(mTable.aliveMembers());
        others.removeIf(
                each -> each.id().equals(member.id()) || each.id().equals(mTable.self().id()));
        Collections.shuffle(others, mRandom);
        List<Member> relays =
                others.subList(0, Math.min(mSettings.indirectProbes(), others.size()));
        AtomicBoolean isReached = new AtomicBoolean();
        CountDownLatch pending = new CountDownLatch(relays.size());
        relays.forEach(
                each ->
                        Tasks.start(
                                "indirect-probe",
                                () -> {
                                    if (requestIndirectPing(each, member)) {
                                        isReached.set(true);
                                    }
                                    pending.countDown();
                                }));
        awaitReplies(pending);
        return isReached.get();
    }

    private void awaitReplies(CountDownLatch pending) {
        try {
            long limitNanos = mSettings.timeout().multipliedBy(2).toNanos();
            if (!pending.await(limitNanos, TimeUnit.NANOSECONDS)) {
                LOGGER.debug("some indirect probes had no reply within twice the probe timeout");
            }
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }

    private boolean requestIndirectPing(Member relay, Member member) {
        try {
            Deadline deadline = Deadline.after(mTime, mSettings.timeout().multipliedBy(2));
            PeerMessage response =
                    mPeers.call(
                            relay.peerAddress(), new IndirectPing(member.peerAddress()), deadline);
            return response instanceof IndirectAck ack && ack.isReachable();
        } catch (RattanportException e) {
            return false;
        }
    }

    /**
     * Pings a random dead member. After a network partition heals, only such a ping can merge the
     * two sides, since each side considers the other dead.
     */
    private void probeDeadMember() {
        List<Member> dead =
                mTable.allMembers().stream()
                        .filter(each -> each.state() == MemberState.DEAD)
                        .toList();
        if (!dead.isEmpty()) {
            ping(dead.get(mRandom.nextInt(dead.size())));
        }
    }

    private void expireSuspicions() {
        List<InstanceId> suspects =
                mTable.members().stream()
                        .filter(each -> each.state() == MemberState.SUSPECT)
                        .map(Member::id)
                        .toList();
        mSuspectedRounds.keySet().retainAll(suspects);
        for (InstanceId suspect : suspects) {
            if (mSuspectedRounds.merge(suspect, 1, Integer::sum) > mSettings.suspicionRounds()) {
                mTable.markState(suspect, MemberState.DEAD);
            }
        }
    }
}
