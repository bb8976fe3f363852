package org.rattanport.benchmark.measure;

/**
 * Prompts of one length class of a workload.
 *
 * @param name name of the length class in the environment document
 * @param arrivalShare share of the arrivals
 * @param minPromptTokens minimum prompt length
 * @param maxPromptTokens maximum prompt length; lengths have a log-uniform distribution
 * @param maxOutputTokens maximum answer length
 * @param timeLimitSeconds time limit in engine time
 */
public record WorkloadClass(
        String name,
        double arrivalShare,
        int minPromptTokens,
        int maxPromptTokens,
        int maxOutputTokens,
        double timeLimitSeconds) {
    /** Mean of the log-uniform distribution of prompt lengths. */
    double meanPromptTokens() {
        return (maxPromptTokens - minPromptTokens)
                / Math.log((double) maxPromptTokens / minPromptTokens);
    }
}
