package org.rattanport.decisions.membership;

import io.reactivex.rxjava3.core.Flowable;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jboss.logging.Logger;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.peer.Rumor.MemberRumor;

/**
 * What this instance knows of all members. The highest incarnation of a name wins, then the highest
 * state number, then the graver state; only a member itself raises its state number.
 */
public final class MemberTable implements Membership {
    private static final Logger LOGGER = Logger.getLogger(MemberTable.class);

    private final Map<String, Member> mMembers = new TreeMap<>();
    private final RumorQueue mRumors;
    private final EventStreams mEvents;
    private Member mSelf;

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

    /** Every known member, the dead included. */
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
    public Flowable<Member> changes() {
        return mEvents.watch(Member.class);
    }

    /** Announces a new state of this instance. */
    public synchronized void announce(MemberState state) {
        mSelf = mSelf.with(state, mSelf.stateNumber() + 1);
        store(mSelf);
    }

    /** Takes what someone says of a member; returns whether it was news. */
    public synchronized boolean merge(Member heard) {
        if (heard.id().name().equals(mSelf.id().name())) {
            return refute(heard);
        }
        Member known = mMembers.get(heard.id().name());
        if (known != null && !heard.supersedes(known)) {
            return false;
        }
        if (known == null || known.state() != heard.state()) {
            LOGGER.info(
                    LogLine.of("member-state")
                            .with("member", heard.id())
                            .with("state", heard.state()));
        }
        store(heard);
        return true;
    }

    /** Records that this instance itself finds the member in the given state. */
    public synchronized void judge(InstanceId id, MemberState state) {
        Member known = mMembers.get(id.name());
        if (known != null && known.id().equals(id) && known.state().compareTo(state) < 0) {
            merge(known.with(state, known.stateNumber()));
        }
    }

    private boolean refute(Member heard) {
        if (!heard.supersedes(mSelf) || heard.id().incarnation() != mSelf.id().incarnation()) {
            return false;
        }
        mSelf = mSelf.with(mSelf.state(), heard.stateNumber() + 1);
        store(mSelf);
        return true;
    }

    private void store(Member member) {
        mMembers.put(member.id().name(), member);
        mRumors.add(new MemberRumor(member));
        mEvents.publish(member);
    }
}
