package org.rattanport.decisions.gateway;

/**
 * Weights of the placement of prompts. Costs are parts of what a late short prompt loses.
 *
 * @param gapSafetyFactor part of a pause that is planned with, as passes vary
 * @param objectiveMidpoint part of an objective at which an answer is as likely late as not
 * @param objectiveSpread spread of first events around the prediction, as a part of the objective
 * @param latencyCost cost of a first event at the objective over one at once
 * @param firstDecodeCost cost of the first writer with short pauses at an engine, which then reads
 *     no long parts
 * @param slotUsageCost cost of an engine whose places are all taken but one
 * @param noCapacityCost cost of an engine without a free place, or without memory
 * @param extraEngineCost cost of each engine that reads besides the one that writes
 * @param failureCost cost of a recent failure of full weight
 * @param jitterCost random cost that keeps instances from choosing the same of near-equal engines
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
    /** Found by playing calm and loaded days; see the decision record on placement. */
    public static final PlacementTuning DEFAULTS =
            new PlacementTuning(0.85, 0.75, 0.1, 0.05, 0.1, 0.2, 2.0, 0.005, 2.0, 0.005);
}
