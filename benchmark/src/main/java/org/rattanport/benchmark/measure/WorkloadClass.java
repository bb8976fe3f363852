package org.rattanport.benchmark.measure;

/**
 * Prompts of one length class in a workload.
 *
 * @param name length class of the environment document
 * @param share share of the arrivals
 * @param shortestTokens shortest prompt
 * @param longestTokens longest prompt; lengths are spread evenly over the logarithm
 * @param outputTokens longest answer
 * @param timeLimitSeconds time limit in engine time
 */
public record WorkloadClass(
        String name,
        double share,
        int shortestTokens,
        int longestTokens,
        int outputTokens,
        double timeLimitSeconds) {
    /** Mean prompt length of the spread. */
    double meanTokens() {
        return (longestTokens - shortestTokens) / Math.log((double) longestTokens / shortestTokens);
    }
}
