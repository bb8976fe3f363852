package org.rattanport.decisions.gateway;

import org.rattanport.decisions.poison.SuspicionTable;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.TargetId;

/** Records the outcomes of attempts in the health of back ends and the suspicions of requests. */
final class OutcomeRecorder {
    /** Engines that may crash while running a request before the request counts as poison. */
    private static final int MAX_ENGINE_DEATHS = 3;

    /** Failure weights; a back end above 0.9 is unhealthy until its weight has decayed. */
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

    /** Whether so many engines crashed with the request that no other engine may run it. */
    boolean isPoison(Fingerprint request) {
        return mSuspicions.deathCount(request) >= MAX_ENGINE_DEATHS;
    }

    void recordSuccess(BackEnd backEnd, Fingerprint request) {
        mHealth.recordSuccess(backEnd.id());
        mSuspicions.clear(request);
    }

    /**
     * Records a refusal and returns its weight in the health of the back end; one that another back
     * end reports weighs more than that of a full back end.
     */
    double recordRefusal(BackEnd backEnd, boolean isReportedByAnother) {
        double weight = isReportedByAnother ? BROKEN_WEIGHT : REFUSAL_WEIGHT;
        mHealth.recordFailure(backEnd.id(), weight);
        return weight;
    }

    /** Records a failure and returns its weight in the health of the back end. */
    double recordFailure(BackEnd backEnd, Fingerprint request, RattanportException error) {
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
            mSuspicions.recordDeath(request, new TargetId(backEnd.id(), backEnd.startWallMillis()));
        }
        return weight;
    }
}
