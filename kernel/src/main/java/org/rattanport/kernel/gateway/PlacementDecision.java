package org.rattanport.kernel.gateway;

/**
 * Published for each placement of a prompt in a group of engines.
 *
 * @param coordinator who decided
 * @param isPlaced whether the group had a usable engine
 */
public record PlacementDecision(Coordinator coordinator, boolean isPlaced) {
    /** Who decided on a placement. */
    public enum Coordinator {
        /** Another instance, the coordinator of the group. */
        PEER,
        /** This instance, as the coordinator of the group. */
        SELF,
        /** This instance, because no coordinator responded. */
        NONE
    }
}
