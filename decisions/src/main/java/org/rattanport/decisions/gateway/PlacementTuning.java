package org.rattanport.decisions.gateway;

/**
 * Weights of the placement of prompts.
 *
 * @param partTokens prompt tokens for each engine that reads
 * @param writerMillis cost of each request that already writes at an engine
 * @param fullMillis cost of an engine without a free place
 * @param overflowMillis cost of an engine whose memory would not hold the prompt
 * @param disturbedMillis cost of each read that a new part would delay
 */
public record PlacementTuning(
        int partTokens,
        double writerMillis,
        double fullMillis,
        double overflowMillis,
        double disturbedMillis) {
    /** Found by playing calm and loaded days; see the decision record on joint reading. */
    public static final PlacementTuning DEFAULTS = new PlacementTuning(12_000, 5, 1_000, 5_000, 10);
}
