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
 * @param capacityMillicores processor capacity of its machine, in thousandths of a core
 */
public record Member(
        InstanceId id,
        String callerAddress,
        String peerAddress,
        String dataCentre,
        MemberState state,
        long stateNumber,
        int capacityMillicores) {
    /** Capacity of a member whose settings do not say it. */
    public static final int DEFAULT_CAPACITY_MILLICORES = 1_000;

    private static final double MILLICORES_PER_CORE = 1_000;

    /** Creates a member with the default capacity. */
    public Member(
            InstanceId id,
            String callerAddress,
            String peerAddress,
            String dataCentre,
            MemberState state,
            long stateNumber) {
        this(
                id,
                callerAddress,
                peerAddress,
                dataCentre,
                state,
                stateNumber,
                DEFAULT_CAPACITY_MILLICORES);
    }

    public Member withState(MemberState state, long stateNumber) {
        return new Member(
                id, callerAddress, peerAddress, dataCentre, state, stateNumber, capacityMillicores);
    }

    /**
     * Weight with which the member gets duties for others. It grows faster than the capacity, as
     * all members take equal shares of the callers' requests.
     */
    public double dutyWeight() {
        double cores = Math.max(1, capacityMillicores) / MILLICORES_PER_CORE;
        return cores * cores;
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
