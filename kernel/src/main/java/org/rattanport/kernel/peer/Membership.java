package org.rattanport.kernel.peer;

import io.reactivex.rxjava3.core.Flowable;
import java.util.List;
import java.util.Optional;
import org.rattanport.kernel.model.InstanceId;

/** The entry instances as this one sees them. */
public interface Membership {
    Member self();

    /** Every member that is not dead, this instance included, in the order of names. */
    List<Member> members();

    /** Members that may take new work: neither leaving nor suspected. */
    default List<Member> aliveMembers() {
        return members().stream().filter(each -> each.state() == MemberState.ALIVE).toList();
    }

    Optional<Member> find(String name);

    /** Whether the instance is known to have ended: dead, or replaced by a newer incarnation. */
    boolean hasEnded(InstanceId id);

    Flowable<Member> changes();
}
