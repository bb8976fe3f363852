package org.rattanport.kernel.peer;

import io.reactivex.rxjava3.core.Flowable;
import java.util.List;
import java.util.Optional;
import org.rattanport.kernel.model.InstanceId;

/** The cluster membership as this instance sees it. */
public interface Membership {
    Member self();

    /** Returns the members that are not dead, including this instance, ordered by name. */
    List<Member> members();

    /** Returns the members that accept new work: neither leaving nor suspected. */
    default List<Member> aliveMembers() {
        return members().stream().filter(each -> each.state() == MemberState.ALIVE).toList();
    }

    Optional<Member> find(String name);

    /**
     * Whether the instance is confirmed to have ended: it is dead, or a newer incarnation replaced
     * it.
     */
    boolean hasEnded(InstanceId id);

    Flowable<Member> memberChanges();
}
