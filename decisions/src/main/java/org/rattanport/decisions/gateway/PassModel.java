package org.rattanport.decisions.gateway;

import org.rattanport.kernel.gateway.EngineFigures;

/** Predicts how long the passes of an engine take, from the figures of its service. */
public final class PassModel {
    private static final double MILLION = 1e6;
    private static final double THOUSAND = 1e3;

    private final EngineFigures mFigures;

    public PassModel(EngineFigures figures) {
        mFigures = figures;
    }

    public EngineFigures figures() {
        return mFigures;
    }

    /** Time to read an even part of a prompt with no other work, in milliseconds. */
    public double readMillis(int promptTokens, int parts) {
        double pairs = (double) promptTokens * promptTokens / 2 / parts;
        return (double) promptTokens / parts / mFigures.readTokensPerMillisecond()
                + pairs / MILLION * mFigures.pairMillisPerMillion();
    }

    /** Time of a pass in which requests write, without what is read in it. */
    public double writingPassMillis(int writers, long contextTokens) {
        if (writers == 0) {
            return 0;
        }
        double step =
                mFigures.stepMillis()
                        + writers * mFigures.sequenceMillis()
                        + contextTokens / THOUSAND * mFigures.contextMillisPerThousand();
        return mFigures.stride() * step;
    }
}
