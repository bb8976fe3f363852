package org.rattanport.decisions.admission;

import org.rattanport.decisions.poison.SuspicionTable;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Refuses a prompt when as many engines died while running it as the environment allows. */
public final class PoisonCheck implements AdmissionCheck {
    private final SuspicionTable mSuspicions;

    public PoisonCheck(SuspicionTable suspicions) {
        mSuspicions = suspicions;
    }

    @Override
    public void check(AdmissionRequest admission) {
        int deaths = mSuspicions.deathCount(admission.request().fingerprint());
        if (deaths >= admission.environment().document().limits().maximumTargetDeathsPerRequest()) {
            throw RattanportException.builder(
                            ErrorCode.POISON_REQUEST,
                            "this prompt was running on " + deaths + " engines when they died")
                    .field("messages")
                    .build();
        }
    }
}
