package org.rattanport.kernel.gateway;

/**
 * Speed and size of the model engines of a service.
 *
 * @param slots requests that one engine processes at once
 * @param memoryTokens tokens that the memory of one engine holds
 * @param stride steps of a pass in which some request writes
 * @param stepMillis base time of one step
 * @param sequenceMillis added time of a step for each writing request
 * @param contextMillisPerThousand added time of a step for each thousand tokens of context
 * @param readTokensPerMillisecond prompt tokens read in a millisecond
 * @param pairMillisPerMillion added time of reading for each million pairs of tokens
 */
public record EngineFigures(
        int slots,
        long memoryTokens,
        int stride,
        double stepMillis,
        double sequenceMillis,
        double contextMillisPerThousand,
        double readTokensPerMillisecond,
        double pairMillisPerMillion) {}
