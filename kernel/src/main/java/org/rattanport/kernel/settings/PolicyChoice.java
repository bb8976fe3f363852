package org.rattanport.kernel.settings;

/**
 * Which policies an instance runs; measurements choose baselines.
 *
 * @param placement name of the placement policy
 * @param isAdmissionByDeadline whether prompts are refused that are not expected to end in time
 */
public record PolicyChoice(String placement, boolean isAdmissionByDeadline) {
    public static final PolicyChoice DEFAULT = new PolicyChoice("length-aware", true);
}
