package org.rattanport.benchmark.measure;

/**
 * Prompts of one length class in a workload.
 *
 * @param name length class of the environment document
 * @param arrivalShare share of the arrivals
 * @param minPromptTokens shortest prompt
 * @param maxPromptTokens longest prompt; lengths are spread evenly over the logarithm
 * @param maxOutputTokens longest answer
 * @param timeLimitSeconds time limit in engine time
 */
public record WorkloadClass(
        String name,
        double arrivalShare,
        int minPromptTokens,
        int maxPromptTokens,
        int maxOutputTokens,
        double timeLimitSeconds) {
    /** Mean prompt length of the spread. */
    double meanPromptTokens() {
        return (maxPromptTokens - minPromptTokens)
                / Math.log((double) maxPromptTokens / minPromptTokens);
    }
}
