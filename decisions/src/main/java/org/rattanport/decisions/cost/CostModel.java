package org.rattanport.decisions.cost;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.rattanport.decisions.target.EngineLoad;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.request.PromptRequest;

/**
 * Predicts prefill and decode times from token counts. Rates come from an engine's load reports. A
 * factor for each engine corrects them by the ratio of observed to predicted times to the first
 * token. The model also estimates which share of the allowed output tokens answers use.
 */
public final class CostModel {
    private static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;
    private static final double DEFAULT_SECONDS_PER_OUTPUT_TOKEN = 0.03;
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double MIN_CORRECTION = 0.25;
    private static final double MAX_CORRECTION = 4.0;

    private final Map<TargetId, Double> mCorrections = new ConcurrentHashMap<>();
    private volatile double mOutputShare = 1.0;

    /** Predicted seconds to the first token of a request that is sent now. */
    public double secondsToFirstToken(EngineLoad load, long promptTokens) {
        double tokens = load.backlogTokens() + promptTokens;
        return tokens / prefillRate(load.report()) * correction(load.target());
    }

    /** Predicted seconds that a new request waits before the engine starts its prefill. */
    public double backlogSeconds(EngineLoad load) {
        return load.backlogTokens() / prefillRate(load.report()) * correction(load.target());
    }

    /** Predicted seconds from the first output token to the last. */
    public double decodeSeconds(EngineLoad load, PromptRequest request) {
        return request.maximumOutputTokens() * mOutputShare * secondsPerOutputToken(load.report());
    }

    public static double prefillRate(TargetLoad load) {
        return load.prefillTokensPerSecond() > 0
                ? load.prefillTokensPerSecond()
                : DEFAULT_PREFILL_TOKENS_PER_SECOND;
    }

    /** Updates an engine's correction factor with the time to the first token of an attempt. */
    public void observeFirstToken(TargetId target, double predicted, double observed) {
        if (predicted <= 0 || observed <= 0) {
            return;
        }
        double ratio = clamp(correction(target) * observed / predicted);
        mCorrections.merge(
                target,
                clamp(1 + SMOOTHING_FACTOR * (ratio - 1)),
                (old, ignored) -> clamp(old + SMOOTHING_FACTOR * (ratio - old)));
    }

    /** Updates the output share with the number of tokens that an answer used. */
    public void observeOutput(int maximumOutputTokens, int outputTokens) {
        if (maximumOutputTokens > 0) {
            double share = Math.min(1.0, (double) outputTokens / maximumOutputTokens);
            mOutputShare += SMOOTHING_FACTOR * (share - mOutputShare);
        }
    }

    private double correction(TargetId target) {
        return mCorrections.getOrDefault(target, 1.0);
    }

    private static double secondsPerOutputToken(TargetLoad load) {
        return load.secondsPerOutputToken() > 0
                ? load.secondsPerOutputToken()
                : DEFAULT_SECONDS_PER_OUTPUT_TOKEN;
    }

    private static double clamp(double value) {
        return Math.clamp(value, MIN_CORRECTION, MAX_CORRECTION);
    }
}
