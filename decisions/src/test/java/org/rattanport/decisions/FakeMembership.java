package org.rattanport.decisions;

import io.reactivex.rxjava3.core.Flowable;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.Membership;

/** A membership whose members the test sets. */
public final class FakeMembership implements Membership {
    private final List<Member> mMembers = new ArrayList<>();
    private final Set<InstanceId> mEnded = new HashSet<>();

    /** Adds a member; the first member is this instance. */
    public FakeMembership add(String name, String dataCentre, MemberState state) {
        return add(name, dataCentre, state, Member.DEFAULT_CAPACITY_MILLICORES);
    }

    /** Adds a member with that processor capacity. */
    public FakeMembership add(
            String name, String dataCentre, MemberState state, int capacityMillicores) {
        mMembers.add(
                new Member(
                        new InstanceId(name, 1),
                        name + ":caller",
                        name + ":peer",
                        dataCentre,
                        state,
                        0,
                        capacityMillicores));
        return this;
    }

    public void markEnded(InstanceId id) {
        mEnded.add(id);
        mMembers.removeIf(each -> each.id().equals(id));
    }

    @Override
    public Member self() {
        return mMembers.getFirst();
    }

    @Override
    public List<Member> members() {
        return List.copyOf(mMembers);
    }

    @Override
    public Optional<Member> find(String name) {
        return mMembers.stream().filter(each -> each.id().name().equals(name)).findFirst();
    }

    @Override
    public boolean hasEnded(InstanceId id) {
        return mEnded.contains(id);
    }

    @Override
    public Flowable<Member> memberChanges() {
        return Flowable.never();
    }
}
