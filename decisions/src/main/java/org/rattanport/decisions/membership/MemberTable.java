package org.rattanport.decisions.membership;

import io.reactivex.rxjava3.core.Flowable;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.peer.Rumor.MemberRumor;

/**
 * Table of all members, as far as rumors have reached this instance. Of two records with the same
 * name, the higher incarnation wins, then the higher state number, then the later {@link
 * MemberState}. Only the member itself increases its state number.
 */
public final class MemberTable implements Membership {
    private static final Logger LOGGER = Logger.getLogger(MemberTable.class);

    private final Map<String, Member> mMembers = new TreeMap<>();
    private final RumorQueue mRumors;
    private final EventStreams mEvents;
    private Member mSelf;
    private long mChangeCount;

    public MemberTable(Member self, RumorQueue rumors, EventStreams events) {
        mSelf = self;
        mRumors = rumors;
        mEvents = events;
        mMembers.put(self.id().name(), self);
        mRumors.add(new MemberRumor(self));
    }

    @Override
    public synchronized Member self() {
        return mSelf;
    }

    @Override
    public synchronized List<Member> members() {
        return mMembers.values().stream().filter(each -> each.state() != MemberState.DEAD).toList();
    }

    /** All members, including dead ones, sorted by name. */
    public synchronized List<Member> allMembers() {
        return mMembers.values().stream()
                .sorted(Comparator.comparing(each -> each.id().name()))
                .toList();
    }

    @Override
    public synchronized Optional<Member> find(String name) {
        return Optional.ofNullable(mMembers.get(name));
    }

    @Override
    public synchronized boolean hasEnded(InstanceId id) {
        Member known = mMembers.get(id.name());
        if (known == null || known.id().incarnation() < id.incarnation()) {
            return false;
        }
        return known.id().incarnation() > id.incarnation() || known.state() == MemberState.DEAD;
    }

    @Override
    public Flowable<Member> memberChanges() {
        return mEvents.stream(Member.class);
    }

    /** Changes the state of this instance and announces it to the cluster. */
    public synchronized void announce(MemberState state) {
        mSelf = mSelf.withState(state, mSelf.stateNumber() + 1);
        store(mSelf);
    }

    /** Merges a received member record; returns whether it superseded the stored one. */
    public synchronized boolean merge(Member received) {
        if (received.id().name().equals(mSelf.id().name())) {
            return refute(received);
        }
        Member known = mMembers.get(received.id().name());
        if (known != null && !received.supersedes(known)) {
            return false;
        }
        if (isNotable(known, received)) {
            LOGGER.info(
                    LogLine.of("member-state")
                            .with("member", received.id())
                            .with("state", received.state()));
        }
        store(received);
        return true;
    }

    /**
     * Whether a change of a member is worth a log line. Members that start are not: when a large
     * cluster starts, each instance would log all others twice.
     */
    private static boolean isNotable(@Nullable Member known, Member received) {
        if (received.state() == MemberState.SUSPECT || received.state() == MemberState.DEAD) {
            return known == null || known.state() != received.state();
        }
        return known != null
                && known.state() != received.state()
                && known.state() != MemberState.LEAVING;
    }

    /** Number of changes of this table so far. */
    public synchronized long changeCount() {
        return mChangeCount;
    }

    /** Marks a member as suspect or dead because this instance itself could not reach it. */
    public synchronized void markState(InstanceId id, MemberState state) {
        Member known = mMembers.get(id.name());
        if (known != null && known.id().equals(id) && known.state().compareTo(state) < 0) {
            merge(known.withState(state, known.stateNumber()));
        }
    }

    private boolean refute(Member received) {
        if (!received.supersedes(mSelf)
                || received.id().incarnation() != mSelf.id().incarnation()) {
            return false;
        }
        mSelf = mSelf.withState(mSelf.state(), received.stateNumber() + 1);
        store(mSelf);
        return true;
    }

    private void store(Member member) {
        mChangeCount++;
        mMembers.put(member.id().name(), member);
        mRumors.add(new MemberRumor(member));
        mEvents.publish(member);
    }
}
