package org.rattanport.decisions.gateway.placement;

import java.util.List;

/**
 * Estimated load of one engine at one moment.
 *
 * @param decodes requests that decode on the engine, or will after their prefill
 * @param activeDecodes requests that decode now
 * @param contextTokens context tokens of the requests that decode now
 * @param reservedTokens memory that requests use or have reserved, in tokens
 * @param pendingPrefillMillis time that the remaining prefill work takes by the figures that the
 *     engine declares
 * @param slowdown duration of the engine's passes compared with these figures; at least 1
 */
public record EngineLoadEstimate(
        List<DecodeRequest> decodes,
        int activeDecodes,
        long contextTokens,
        long reservedTokens,
        double pendingPrefillMillis,
        double slowdown) {
    /**
     * A decode request.
     *
     * @param maxGapMillis longest gap between events that is on time
     * @param weight cost of a late event
     * @param remainingMillis predicted time until it ends and leaves its slot
     * @param isWaiting whether the engine admits requests that are on time before it
     */
    public record DecodeRequest(
            double maxGapMillis, double weight, double remainingMillis, boolean isWaiting) {}

    /** The estimate of an engine without requests. */
    public static final EngineLoadEstimate IDLE = new EngineLoadEstimate(List.of(), 0, 0, 0, 0, 1);

    /** Returns this load on an engine with another slowdown. */
    EngineLoadEstimate withSlowdown(double other) {
        return new EngineLoadEstimate(
                decodes, activeDecodes, contextTokens, reservedTokens, pendingPrefillMillis, other);
    }

    /** Duration of a pass that prefills the pending work and a new prompt part. */
    public double passMillis(ForwardPassModel model, double partMillis) {
        return slowdown
                * (model.decodePassMillis(activeDecodes, contextTokens)
                        + pendingPrefillMillis
                        + partMillis);
    }

    /**
     * Predicts the time until a new prompt part is prefilled. One pass prefills the pending work
     * and the part; it begins when the current pass ends, half a decode pass from now on average.
     */
    public double prefillFinishMillis(ForwardPassModel model, double partMillis) {
        double currentPassRemainder =
                slowdown * model.decodePassMillis(activeDecodes, contextTokens) / 2;
        return currentPassRemainder + passMillis(model, partMillis);
    }

    /**
     * Predicts how long a new request waits for a slot of the engine.
     *
     * @param isDeferred whether the request waits behind all others, or only behind those that are
     *     not deferred
     */
    public double slotWaitMillis(int slots, boolean isDeferred) {
        double[] remaining =
                decodes.stream()
                        .filter(decode -> isDeferred || !decode.isWaiting())
                        .mapToDouble(DecodeRequest::remainingMillis)
                        .sorted()
                        .toArray();
        return remaining.length < slots ? 0 : remaining[remaining.length - slots];
    }

    /** Sum of the weights of the decode requests whose gap limit is shorter than the pass. */
    public double interferenceCost(double passMillis) {
        double cost = 0;
        for (DecodeRequest decode : decodes) {
            cost += passMillis > decode.maxGapMillis() ? decode.weight() : 0;
        }
        return cost;
    }

    /** Whether a decode request on the engine has this gap limit or a shorter one. */
    public boolean hasDecodeWithMaxGap(double gapLimitMillis) {
        return decodes.stream().anyMatch(decode -> decode.maxGapMillis() <= gapLimitMillis);
    }
}
