package org.rattanport.decisions.gateway.placement;

import org.rattanport.kernel.gateway.EngineSpec;

/** Predicts the duration of an engine's forward passes from the engine spec of its service. */
public final class ForwardPassModel {
    private static final double MILLION = 1e6;
    private static final double THOUSAND = 1e3;

    private final EngineSpec mSpec;

    public ForwardPassModel(EngineSpec spec) {
        mSpec = spec;
    }

    public EngineSpec spec() {
        return mSpec;
    }

    /**
     * Time to prefill one of several equal parts of a prompt on an idle engine, in milliseconds.
     */
    public double prefillMillis(int promptTokens, int parts) {
        double tokenPairs = (double) promptTokens * promptTokens / 2 / parts;
        return (double) promptTokens / parts / mSpec.prefillTokensPerMilli()
                + tokenPairs / MILLION * mSpec.prefillMillisPerMillionPairs();
    }

    /**
     * Time to prefill a prompt on an idle engine that holds its beginning, in milliseconds. Each
     * token of the rest is paired with all tokens before it.
     */
    public double restPrefillMillis(int promptTokens, int heldTokens) {
        double tokenPairs =
                ((double) promptTokens * promptTokens - (double) heldTokens * heldTokens) / 2;
        return (promptTokens - heldTokens) / mSpec.prefillTokensPerMilli()
                + tokenPairs / MILLION * mSpec.prefillMillisPerMillionPairs();
    }

    /** Duration of a pass that decodes for the requests, without any prefill in it. */
    public double decodePassMillis(int decodes, long contextTokens) {
        if (decodes == 0) {
            return 0;
        }
        double step =
                mSpec.stepBaseMillis()
                        + decodes * mSpec.stepMillisPerSequence()
                        + contextTokens / THOUSAND * mSpec.stepMillisPerThousandContextTokens();
        return mSpec.decodeStepsPerPass() * step;
    }
}
