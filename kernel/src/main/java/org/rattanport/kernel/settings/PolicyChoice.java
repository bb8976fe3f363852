package org.rattanport.kernel.settings;

/**
 * Policies that an instance runs. Benchmarks select baseline policies instead of the default.
 *
 * @param placement name of the placement policy
 * @param isDeadlineAdmissionEnabled whether admission refuses prompts that are not expected to end
 *     before their deadline
 */
public record PolicyChoice(String placement, boolean isDeadlineAdmissionEnabled) {
    public static final PolicyChoice DEFAULT = new PolicyChoice("length-aware", true);
}
