package org.rattanport.decisions.admission;

import java.util.List;

/** Applies the checks in order; the first that refuses decides. */
public final class Admission {
    private final List<AdmissionCheck> mChecks;

    public Admission(List<AdmissionCheck> checks) {
        mChecks = List.copyOf(checks);
    }

    /**
     * Admits a prompt.
     *
     * @throws org.rattanport.kernel.error.RattanportException with the verdict {@code NOT_RUN}
     */
    public void admit(AdmissionRequest request) {
        mChecks.forEach(check -> check.check(request));
    }
}
