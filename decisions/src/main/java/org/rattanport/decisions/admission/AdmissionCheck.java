package org.rattanport.decisions.admission;

/** Checks one condition under which a prompt is refused before any engine receives it. */
@FunctionalInterface
public interface AdmissionCheck {
    /**
     * Returns when the check accepts the prompt.
     *
     * @throws org.rattanport.kernel.error.RattanportException with the verdict {@code NOT_RUN},
     *     when the check refuses the prompt
     */
    void check(AdmissionRequest request);
}
