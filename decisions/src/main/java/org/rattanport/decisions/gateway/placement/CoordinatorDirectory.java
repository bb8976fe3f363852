package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.kernel.gateway.EngineGroup;
import org.rattanport.kernel.model.RendezvousHash;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.time.TimeSource;

/**
 * Chooses who coordinates a group of engines, or owns the rate limit of a back end, by rendezvous
 * hashing over the alive members, weighted by the capacity of their machines, so that instances
 * with the same view of the members agree without an election. A coordinator that does not respond
 * is passed over for a while.
 */
public final class CoordinatorDirectory {
    /** Mean number of engines in a group; a prompt is prefilled by up to 17 of them. */
    private static final int ENGINES_PER_GROUP = 24;

    /** Time for which a silent coordinator is passed over; the failure detector takes longer. */
    private static final Duration SILENCE_PENALTY = Duration.ofSeconds(1);

    private static final int MAX_CACHED_ORDERS = 1_000;

    /** Members in the order of their preference for a key, as of a state of the member table. */
    private record Order(long changeCount, List<Member> members) {}

    private final MemberTable mMembers;
    private final TimeSource mTime;
    private final Map<String, Order> mOrders = new ConcurrentHashMap<>();
    private final Map<String, Long> mSilenceNanos = new ConcurrentHashMap<>();

    public CoordinatorDirectory(MemberTable members, TimeSource time) {
        mMembers = members;
        mTime = time;
    }

    /** Number of groups for a service with that many engines. */
    public static int groupCount(int engines) {
        return Math.max(1, Math.round((float) engines / ENGINES_PER_GROUP));
    }

    /** Returns the members that may coordinate the group, the preferred one first. */
    public List<Member> candidates(String service, EngineGroup group) {
        return candidates(service + "/" + group.index());
    }

    /** Returns the members that respond and may coordinate the key, the preferred one first. */
    public List<Member> candidates(String key) {
        return order(key).stream().filter(each -> !isSilent(each)).toList();
    }

    /** Returns all alive members in the order of their preference for the key. */
    public List<Member> order(String key) {
        long changeCount = mMembers.changeCount();
        Order known = mOrders.get(key);
        if (known != null && known.changeCount() == changeCount) {
            return known.members();
        }
        if (mOrders.size() >= MAX_CACHED_ORDERS) {
            mOrders.clear();
        }
        Order order =
                new Order(
                        changeCount,
                        RendezvousHash.orderByCapacity(
                                key,
                                mMembers.aliveMembers(),
                                each -> each.id().name(),
                                Member::dutyWeight));
        mOrders.put(key, order);
        return order.members();
    }

    public Member self() {
        return mMembers.self();
    }

    public boolean isSelf(Member member) {
        return member.id().equals(mMembers.self().id());
    }

    public boolean isSilent(Member member) {
        Long silenceNanos = mSilenceNanos.get(member.peerAddress());
        return silenceNanos != null && mTime.nanoTime() - silenceNanos < SILENCE_PENALTY.toNanos();
    }

    /** Whether the member has not responded since it was silent. */
    public boolean wasSilent(Member member) {
        return mSilenceNanos.containsKey(member.peerAddress());
    }

    public void recordResponse(Member member) {
        mSilenceNanos.remove(member.peerAddress());
    }

    /**
     * Records that the member did not respond. It is passed over, but not suspected: a slow member
     * misses this timeout long before the one of the failure detector.
     */
    public void recordSilence(Member member) {
        mSilenceNanos.put(member.peerAddress(), mTime.nanoTime());
    }
}
