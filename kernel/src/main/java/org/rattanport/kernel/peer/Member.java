package org.rattanport.kernel.peer;

import org.rattanport.kernel.model.InstanceId;

/**
 * One entry instance as known to its peers.
 *
 * @param id name and incarnation
 * @param callerAddress where callers connect
 * @param peerAddress where peers connect
 * @param dataCentre where it runs
 * @param state what peers think of it
 * @param stateNumber raised by the member itself to refute what peers think
 */
public record Member(
        InstanceId id,
        String callerAddress,
        String peerAddress,
        String dataCentre,
        MemberState state,
        long stateNumber) {
    public Member with(MemberState state, long stateNumber) {
        return new Member(id, callerAddress, peerAddress, dataCentre, state, stateNumber);
    }

    /** Whether this entry is newer knowledge than the other entry of the same name. */
    public boolean supersedes(Member other) {
        if (id.incarnation() != other.id.incarnation()) {
            return id.incarnation() > other.id.incarnation();
        }
        if (stateNumber != other.stateNumber) {
            return stateNumber > other.stateNumber;
        }
        return state.compareTo(other.state) > 0;
    }
}
