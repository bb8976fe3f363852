package org.rattanport.kernel.environment;

/**
 * The engines that serve one model.
 *
 * @param name model name in requests and pool name of the engines
 * @param version desired version of the weights
 * @param maximumPromptTokens maximum prompt length that is accepted
 * @param checksFencingNumbers whether the engines refuse an assignment with an outdated fencing
 *     number
 * @param minimumServingPercent percentage of the engines that keep serving during a rolling update
 *     of the weights
 */
public record ModelPool(
        String name,
        String version,
        int maximumPromptTokens,
        boolean checksFencingNumbers,
        int minimumServingPercent) {
    /** Whether the document sets a desired version of the weights. */
    public boolean hasVersion() {
        return !version.isEmpty();
    }
}
