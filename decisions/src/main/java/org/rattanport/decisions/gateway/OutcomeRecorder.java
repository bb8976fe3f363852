package org.rattanport.decisions.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanport.decisions.gateway.placement.BackEndHealth;
import org.rattanport.decisions.poison.CrashAttribution;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.RequestContent;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.TargetId;

/** Records the outcomes of attempts in the health of back ends and the attribution of crashes. */
final class OutcomeRecorder {
    /** Failure weights; a back end above 0.9 is unhealthy until its weight has decayed. */
    private static final double NO_CONNECTION_WEIGHT = 2.0;

    private static final double BROKEN_WEIGHT = 1.0;
    private static final double FAILED_RUN_WEIGHT = 0.3;
    private static final double REFUSAL_WEIGHT = 0.2;

    private final BackEndHealth mHealth;
    private final CrashAttribution mCrashes;

    OutcomeRecorder(BackEndHealth health, CrashAttribution crashes) {
        mHealth = health;
        mCrashes = crashes;
    }

    /** Returns what makes engines crash and must not reach another one, if the request has it. */
    Optional<Fingerprint> blockedContent(RequestContent content) {
        return mCrashes.blockedContent(content);
    }

    /** Returns the same as {@link #blockedContent}, for a request that is not made. */
    Optional<Fingerprint> findBlocked(RequestContent content) {
        return mCrashes.findBlocked(content);
    }

    /** Records that an engine began to answer a prompt, which clears the parts of the prompt. */
    void recordFirstEvent(RequestContent content) {
        mCrashes.recordSoundRun(content.sharedParts());
    }

    void recordSuccess(BackEnd backEnd, RequestContent content) {
        mHealth.recordSuccess(backEnd.id());
        mCrashes.recordCompletion(content.request());
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

    /**
     * Records a failure and returns its weight in the health of the back end.
     *
     * @param hasBegun whether the back end had begun to answer, so that the parts of the prompt
     *     cannot have made it crash
     */
    double recordFailure(
            BackEnd backEnd, RequestContent content, boolean hasBegun, RattanportException error) {
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
            List<Fingerprint> suspects = new ArrayList<>();
            suspects.add(content.request());
            if (!hasBegun) {
                suspects.addAll(content.sharedParts());
            }
            mCrashes.recordCrash(new TargetId(backEnd.id(), backEnd.startWallMillis()), suspects);
        }
        return weight;
    }
}
