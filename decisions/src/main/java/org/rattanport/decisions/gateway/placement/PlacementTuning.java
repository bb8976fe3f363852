package org.rattanport.decisions.gateway.placement;

/**
 * Weights of the placement of prompts. The unit of cost is the loss of one late short prompt.
 *
 * @param gapSafetyFactor usable fraction of a gap limit, as the duration of passes varies
 * @param objectiveMidpoint fraction of the objective at which a predicted first event is late with
 *     a probability of one half
 * @param objectiveSpread spread of first events around the prediction, as a fraction of the
 *     objective
 * @param latencyCost cost of a first event at the objective compared with an immediate one
 * @param firstDecodeCost cost of the first decode request with a short gap limit on an engine,
 *     which then prefills no long parts
 * @param slotUsageCost cost of taking the last free slot of an engine; scaled by the fourth power
 *     of the slot usage
 * @param noCapacityCost cost of an engine without a free slot or without enough free memory
 * @param extraEngineCost cost of each prefill engine besides the decode engine
 * @param failureCost cost of a failure weight of one
 * @param jitterCost bound of a random cost, so that instances choose different engines of
 *     near-equal cost
 */
public record PlacementTuning(
        double gapSafetyFactor,
        double objectiveMidpoint,
        double objectiveSpread,
        double latencyCost,
        double firstDecodeCost,
        double slotUsageCost,
        double noCapacityCost,
        double extraEngineCost,
        double failureCost,
        double jitterCost) {
    /** Default weights; see the decision record on placement. */
    public static final PlacementTuning DEFAULTS =
            new PlacementTuning(0.85, 0.75, 0.1, 0.05, 0.1, 0.2, 2.0, 0.005, 2.0, 0.005);

    /** The same weights without the random cost, for comparisons that must not vary. */
    public PlacementTuning withoutJitter() {
        return new PlacementTuning(
                gapSafetyFactor,
                objectiveMidpoint,
                objectiveSpread,
                latencyCost,
                firstDecodeCost,
                slotUsageCost,
                noCapacityCost,
                extraEngineCost,
                failureCost,
                0);
    }
}
