package org.rattanport.decisions.gateway.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.rattanport.decisions.gateway.placement.CoordinatorDirectory;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.RumorQueue;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.ColdBackEndEvent;
import org.rattanport.kernel.gateway.ColdBound;
import org.rattanport.kernel.gateway.RateLimitEvent;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.TimeSource;

/** The rate limits of one instance and its view of the members. */
public final class RateLimitInstance {
    private final EventStreams mEvents = new EventStreams();
    private final MemberTable mMembers;
    private final RateLimitOwner mOwner;
    private final BackEndRateLimits mLimits;
    private final List<RateLimitEvent> mPublished = new ArrayList<>();
    private final List<ColdBackEndEvent> mColdEvents = new ArrayList<>();
    private double mColdPerSecond;
    private boolean mIsSearchComplete;

    public RateLimitInstance(PeerNetwork peers, Member self, TimeSource time, long seed) {
        this(peers, self, time, seed, List.of());
    }

    RateLimitInstance(
            PeerNetwork peers, Member self, TimeSource time, long seed, List<String> seeds) {
        mMembers = new MemberTable(self, new RumorQueue(), mEvents);
        CoordinatorDirectory directory = new CoordinatorDirectory(mMembers, time);
        MissingMembers missing = new MissingMembers(time);
        mMembers.memberChanges().subscribe(missing::recordChange);
        RateLimitTable table = new RateLimitTable(time, mPublished::add);
        RateLimitPeers owners = new RateLimitPeers(peers, directory, table, time);
        ColdRules cold =
                new ColdRules(
                        new ColdBackEnds(time, service -> mColdPerSecond, mColdEvents::add),
                        ColdBound.DEFAULT,
                        new FleetView(directory, missing, seeds, () -> mIsSearchComplete));
        mOwner = new RateLimitOwner(table, directory, owners, cold, time, new Random(seed));
        mOwner.registerHandlers(peers);
        mMembers.memberChanges()
                .filter(member -> member.id().equals(self.id()))
                .subscribe(mOwner::membersChanged);
        mLimits =
                new BackEndRateLimits(
                        table,
                        mOwner,
                        directory,
                        owners,
                        cold,
                        Runnable::run,
                        mPublished::add,
                        time,
                        new Random(seed + 1));
    }

    public BackEndRateLimits limits() {
        return mLimits;
    }

    RateLimitOwner owner() {
        return mOwner;
    }

    Member self() {
        return mMembers.self();
    }

    MemberTable members() {
        return mMembers;
    }

    /** The events of this instance, in order. */
    public List<RateLimitEvent> events() {
        return mPublished;
    }

    /** The events about cold back ends, in order. */
    List<ColdBackEndEvent> coldEvents() {
        return mColdEvents;
    }

    /** A document with this bound for cold back ends takes effect; 0 for none. */
    public void setColdPerSecond(double requestsPerSecond) {
        mColdPerSecond = requestsPerSecond;
    }

    /** The search for other members ends without one. */
    void findNobody() {
        mIsSearchComplete = true;
    }

    /** Learns the state of a member, and gives up the limits that it no longer owns. */
    void learn(Member member) {
        mMembers.merge(member);
        mOwner.membersChanged(member);
    }
}
