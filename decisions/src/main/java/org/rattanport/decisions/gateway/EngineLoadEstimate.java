package org.rattanport.decisions.gateway;

import java.util.List;

/**
 * What is known of the work at one engine at one moment.
 *
 * @param decodes requests that write there, or will once their prompt is read
 * @param activeDecodes requests that write there now
 * @param contextTokens context of the requests that write now
 * @param reservedTokens memory that is taken or promised
 * @param pendingPrefillMillis time that reading takes of what is still to be read there
 */
public record EngineLoadEstimate(
        List<DecodeRequest> decodes,
        int activeDecodes,
        long contextTokens,
        long reservedTokens,
        double pendingPrefillMillis) {
    /** A request that writes: the longest pause that is on time, and what a late answer loses. */
    public record DecodeRequest(double maxGapMillis, double weight) {}

    /** An engine without work. */
    public static final EngineLoadEstimate IDLE = new EngineLoadEstimate(List.of(), 0, 0, 0, 0);

    /** Time of a pass that reads what waits and a new part besides. */
    public double passMillis(ForwardPassModel model, double partMillis) {
        return model.decodePassMillis(activeDecodes, contextTokens)
                + pendingPrefillMillis
                + partMillis;
    }

    /**
     * Predicts the time until a new part is read: what waits and the part itself are read in one
     * pass, which begins when the present one ends.
     */
    public double prefillFinishMillis(ForwardPassModel model, double partMillis) {
        double currentPassRemainder = model.decodePassMillis(activeDecodes, contextTokens) / 2;
        return currentPassRemainder + passMillis(model, partMillis);
    }

    /** What the writers lose for which a pass of that length is too long a pause. */
    public double interferenceCost(double passMillis) {
        double cost = 0;
        for (DecodeRequest decode : decodes) {
            cost += passMillis > decode.maxGapMillis() ? decode.weight() : 0;
        }
        return cost;
    }

    /** Whether some request here allows only pauses as short as that. */
    public boolean hasDecodeWithMaxGap(double gapMillis) {
        return decodes.stream().anyMatch(decode -> decode.maxGapMillis() <= gapMillis);
    }
}
