package org.rattanport.kernel.environment;

/**
 * The engines that serve one model.
 *
 * @param name model name that callers use; also the pool name of its engines
 * @param version version of the weights that the engines should have loaded
 * @param maximumPromptTokens longest prompt that is accepted
 * @param checksFencingNumbers whether its engines refuse orders with an old fencing number
 * @param minimumServingPercent share of the engines that keeps serving while a version rolls
 */
public record ModelPool(
        String name,
        String version,
        int maximumPromptTokens,
        boolean checksFencingNumbers,
        int minimumServingPercent) {
    /** Whether the document says what the engines should have loaded. */
    public boolean hasVersion() {
        return !version.isEmpty();
    }
}
