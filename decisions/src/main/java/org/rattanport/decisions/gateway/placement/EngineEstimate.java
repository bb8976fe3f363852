package org.rattanport.decisions.gateway.placement;

/**
 * What placing a whole prompt at one engine would bring about, by what is known now.
 *
 * @param firstEventMillis predicted time to the first event
 * @param prefillMillis the part of it in which the engine prefills the prompt; the rest is the wait
 * @param heldTokens tokens of the prompt's beginning that the engine holds
 * @param hasSlot whether the engine has a free slot
 * @param hasMemory whether the engine has memory for the prompt and its answer
 * @param latenessCost cost of the time of the first event
 * @param interferenceCost cost of the longer pass for the requests that decode there
 * @param failureCost cost of the recent failures of the engine
 * @param slotCost cost of using up its slots
 * @param noCapacityCost cost of a missing slot or missing memory
 * @param firstDecodeCost cost of the first decode request on the engine
 */
public record EngineEstimate(
        double firstEventMillis,
        double prefillMillis,
        int heldTokens,
        boolean hasSlot,
        boolean hasMemory,
        double latenessCost,
        double interferenceCost,
        double failureCost,
        double slotCost,
        double noCapacityCost,
        double firstDecodeCost) {
    /** The cost by which engines are compared, without the random one. */
    public double totalCost() {
        return latenessCost
                + interferenceCost
                + failureCost
                + slotCost
                + noCapacityCost
                + firstDecodeCost;
    }

    /** Predicted wait behind the work of the engine. */
    public double waitMillis() {
        return firstEventMillis - prefillMillis;
    }
}
