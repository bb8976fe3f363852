package org.rattanport.decisions.admission;

/** One reason to refuse a prompt before anything is sent for it. */
@FunctionalInterface
public interface AdmissionCheck {
    /**
     * Returns when the check has nothing against the prompt.
     *
     * @throws org.rattanport.kernel.error.RattanportException with the verdict {@code NOT_RUN}
     */
    void check(AdmissionRequest request);
}
