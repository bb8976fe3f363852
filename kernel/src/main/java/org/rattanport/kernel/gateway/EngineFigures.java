package org.rattanport.kernel.gateway;

/**
 * Capacity and speed of each model engine of a service.
 *
 * @param slots number of requests that one engine processes concurrently
 * @param memoryTokens number of tokens that fit into the KV cache memory of one engine
 * @param stride decode steps of one forward pass, if any request is decoding
 * @param stepMillis base duration of one decode step
 * @param sequenceMillis added duration of a step for each decoding request
 * @param contextMillisPerThousand added duration of a step for each thousand tokens of context
 * @param readTokensPerMillisecond prompt tokens that are prefilled in one millisecond
 * @param pairMillisPerMillion added prefill time for each million pairs of tokens
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
