package org.rattanport.kernel.peer;

import org.rattanport.kernel.model.InstanceId;

/**
 * A cluster member: one entry instance as its peers see it.
 *
 * @param id name and incarnation
 * @param callerAddress address for callers
 * @param peerAddress address for peers
 * @param dataCentre data centre of the instance
 * @param state state that peers assume
 * @param stateNumber number that the member raises to refute a wrong state
 */
public record Member(
        InstanceId id,
        String callerAddress,
        String peerAddress,
        String dataCentre,
        MemberState state,
        long stateNumber) {
    public Member withState(MemberState state, long stateNumber) {
        return new Member(id, callerAddress, peerAddress, dataCentre, state, stateNumber);
    }

    /** Whether this entry is newer than the other entry of the same name. */
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
