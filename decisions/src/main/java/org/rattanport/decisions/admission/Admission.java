package org.rattanport.decisions.admission;

import java.util.List;

/** Runs the admission checks in order; the first refusal ends admission. */
public final class Admission {
    private final List<AdmissionCheck> mChecks;

    public Admission(List<AdmissionCheck> checks) {
        mChecks = List.copyOf(checks);
    }

    /**
     * Returns when all checks accept the prompt.
     *
     * @throws org.rattanport.kernel.error.RattanportException with the verdict {@code NOT_RUN},
     *     when a check refuses the prompt
     */
    public void admit(AdmissionRequest request) {
        mChecks.forEach(check -> check.check(request));
    }
}
