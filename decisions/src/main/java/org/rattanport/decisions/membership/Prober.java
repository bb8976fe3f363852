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
 * Detects failed members. Each round probes one member, in a shuffled order that reaches all, so
 * the cost of a round does not grow with the fleet. A member that answers neither directly nor
 * through others is suspected, and is dead when it does not refute in time. The time is counted in
 * rounds of this instance: one that was paused judges nobody by the time it slept.
 */
public final class Prober {
    private static final Logger LOGGER = Logger.getLogger(Prober.class);

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

    /** Probes the next member and judges the suspected ones. */
    public void round() {
        mRoundCount++;
        nextMember().ifPresent(this::probe);
        if (mRoundCount % mSettings.rejoinRounds() == 0) {
            probeDeadMember();
        }
        expireSuspicions();
    }

    private java.util.Optional<Member> nextMember() {
        if (mProbeOrder.isEmpty()) {
            List<String> names = new ArrayList<>();
            mTable.members().stream()
                    .filter(each -> !each.id().equals(mTable.self().id()))
                    .forEach(each -> names.add(each.id().name()));
            Collections.shuffle(names, mRandom);
            mProbeOrder.addAll(names);
        }
        return java.util.Optional.ofNullable(mProbeOrder.poll())
                .flatMap(mTable::find)
                .filter(each -> each.state() != MemberState.DEAD);
    }

    private void probe(Member member) {
        if (!ping(member) && !pingIndirectly(member)) {
            LOGGER.debugf("member %s does not answer", member.id());
            mTable.judge(member.id(), MemberState.SUSPECT);
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
        List<Member> asked = others.subList(0, Math.min(mSettings.indirectProbes(), others.size()));
        AtomicBoolean isReached = new AtomicBoolean();
        CountDownLatch open = new CountDownLatch(asked.size());
        asked.forEach(
                each ->
                        Tasks.start(
                                "indirect-probe",
                                () -> {
                                    if (requestIndirectPing(each, member)) {
                                        isReached.set(true);
                                    }
                                    open.countDown();
                                }));
        awaitReplies(open);
        return isReached.get();
    }

    private void awaitReplies(CountDownLatch open) {
        try {
            long limitNanos = mSettings.timeout().multipliedBy(2).toNanos();
            if (!open.await(limitNanos, TimeUnit.NANOSECONDS)) {
                LOGGER.debug("not every indirect probe was answered");
            }
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
    }

    private boolean requestIndirectPing(Member through, Member member) {
        try {
            Deadline deadline = Deadline.after(mTime, mSettings.timeout().multipliedBy(2));
            PeerMessage answer =
                    mPeers.ask(
                            through.peerAddress(),
                            new IndirectPing(member.peerAddress()),
                            deadline);
            return answer instanceof IndirectAck ack && ack.isReached();
        } catch (RattanportException e) {
            return false;
        }
    }

    /** After a partition heals, only a message to a member held for dead can join the parts. */
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
                mTable.judge(suspect, MemberState.DEAD);
            }
        }
    }
}
