package org.rattanport.decisions.cost;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.rattanport.decisions.target.EngineView;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.request.PromptRequest;

/**
 * Predicts times from tokens. Rates come from an engine's reports, corrected by how its first
 * tokens really came; the share of the allowed output that answers use is learned as well.
 */
public final class CostModel {
    private static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;
    private static final double DEFAULT_SECONDS_PER_OUTPUT_TOKEN = 0.03;
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double MIN_CORRECTION = 0.25;
    private static final double MAX_CORRECTION = 4.0;

    private final Map<TargetId, Double> mCorrections = new ConcurrentHashMap<>();
    private volatile double mOutputShare = 1.0;

    /** Predicted seconds until the first token of a request sent now. */
    public double secondsToFirstToken(EngineView view, long promptTokens) {
        double tokens = view.backlogTokens() + promptTokens;
        return tokens / prefillRate(view.report()) * correction(view.target());
    }

    /** Predicted seconds of waiting before the engine turns to a new request. */
    public double backlogSeconds(EngineView view) {
        return view.backlogTokens() / prefillRate(view.report()) * correction(view.target());
    }

    /** Predicted seconds from the first token to the last. */
    public double decodeSeconds(EngineView view, PromptRequest request) {
        return request.maximumOutputTokens() * mOutputShare * secondsPerOutputToken(view.report());
    }

    public static double prefillRate(TargetLoad load) {
        return load.prefillTokensPerSecond() > 0
                ? load.prefillTokensPerSecond()
                : DEFAULT_PREFILL_TOKENS_PER_SECOND;
    }

    /** Learns from the first token of an attempt. */
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

    /** Learns how much of the allowed output an answer used. */
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
