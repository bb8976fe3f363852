package org.rattanport.decisions.gateway;

import org.rattanport.decisions.poison.SuspicionTable;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.TargetId;

/**
 * Weighs what became of an attempt, for the health of its back end and the suspicion of requests.
 */
final class OutcomeJudge {
    /** Engines that may die with one request before it is refused for good. */
    private static final int MOST_DEATHS = 3;

    /** Weights of failures; above 0.9 a back end is avoided until the weight has halved. */
    private static final double NO_CONNECTION = 2.0;

    private static final double BROKEN = 1.0;
    private static final double FAILED = 0.3;
    private static final double REFUSED = 0.2;

    private final BackEndHealth mHealth;
    private final SuspicionTable mSuspicions;

    OutcomeJudge(BackEndHealth health, SuspicionTable suspicions) {
        mHealth = health;
        mSuspicions = suspicions;
    }

    /** Whether so many engines died with the request that no other one may get it. */
    boolean isPoison(Fingerprint request) {
        return mSuspicions.deaths(request) >= MOST_DEATHS;
    }

    void succeeded(BackEnd backEnd, Fingerprint request) {
        mHealth.succeeded(backEnd.id());
        mSuspicions.acquitted(request);
    }

    /** A back end refused; one that another one names as at fault is worse than a full one. */
    void refused(BackEnd backEnd, boolean isNamedByAnother) {
        mHealth.failed(backEnd.id(), isNamedByAnother ? BROKEN : REFUSED);
    }

    void failed(BackEnd backEnd, Fingerprint request, RattanportException error) {
        double weight =
                switch (error.verdict()) {
                    case NOT_RUN -> NO_CONNECTION;
                    case MAY_HAVE_RUN -> BROKEN;
                    case RAN -> FAILED;
                };
        mHealth.failed(backEnd.id(), weight);
        boolean mayHaveDied =
                error.code() == ErrorCode.TARGET_FAILED && error.verdict() == Verdict.MAY_HAVE_RUN;
        if (mayHaveDied) {
            mSuspicions.died(request, new TargetId(backEnd.id(), backEnd.born()));
        }
    }
}
