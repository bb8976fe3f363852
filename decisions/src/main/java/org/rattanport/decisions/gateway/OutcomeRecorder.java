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
final class OutcomeRecorder {
    /** Engines that may die with one request before it is refused for good. */
    private static final int MAX_ENGINE_DEATHS = 3;

    /** Weights of failures; above 0.9 a back end is avoided until the weight has halved. */
    private static final double NO_CONNECTION_WEIGHT = 2.0;

    private static final double BROKEN_WEIGHT = 1.0;
    private static final double FAILED_RUN_WEIGHT = 0.3;
    private static final double REFUSAL_WEIGHT = 0.2;

    private final BackEndHealth mHealth;
    private final SuspicionTable mSuspicions;

    OutcomeRecorder(BackEndHealth health, SuspicionTable suspicions) {
        mHealth = health;
        mSuspicions = suspicions;
    }

    /** Whether so many engines died with the request that no other one may get it. */
    boolean isPoison(Fingerprint request) {
        return mSuspicions.deaths(request) >= MAX_ENGINE_DEATHS;
    }

    void recordSuccess(BackEnd backEnd, Fingerprint request) {
        mHealth.recordSuccess(backEnd.id());
        mSuspicions.acquitted(request);
    }

    /** A back end refused; one that another one names as at fault is worse than a full one. */
    void recordRefusal(BackEnd backEnd, boolean isReportedByAnother) {
        mHealth.recordFailure(backEnd.id(), isReportedByAnother ? BROKEN_WEIGHT : REFUSAL_WEIGHT);
    }

    void recordFailure(BackEnd backEnd, Fingerprint request, RattanportException error) {
        double weight =
                switch (error.verdict()) {
                    case NOT_RUN -> NO_CONNECTION_WEIGHT;
                    case MAY_HAVE_RUN -> BROKEN_WEIGHT;
                    case RAN -> FAILED_RUN_WEIGHT;
                };
        mHealth.recordFailure(backEnd.id(), weight);
        boolean mayHaveDied =
                error.code() == ErrorCode.TARGET_FAILED && error.verdict() == Verdict.MAY_HAVE_RUN;
        if (mayHaveDied) {
            mSuspicions.died(request, new TargetId(backEnd.id(), backEnd.born()));
        }
    }
}
