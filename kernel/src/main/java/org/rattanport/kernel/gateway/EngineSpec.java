package org.rattanport.kernel.gateway;

/**
 * Capacity and speed of each model engine of a service.
 *
 * @param slots number of requests that one engine processes concurrently
 * @param memoryTokens number of tokens that fit into the KV cache memory of one engine
 * @param decodeStepsPerPass decode steps of one forward pass, if any request is decoding
 * @param stepBaseMillis base duration of one decode step
 * @param stepMillisPerSequence added duration of a step for each decoding request
 * @param stepMillisPerThousandContextTokens added duration of a step for each thousand tokens of
 *     context
 * @param prefillTokensPerMilli prompt tokens that are prefilled in one millisecond
 * @param prefillMillisPerMillionPairs added prefill time for each million pairs of tokens
 * @param retainsPrompts whether an engine keeps prompts after their requests have ended, as long as
 *     its memory has room, and does not prefill a beginning again that it still holds
 */
public record EngineSpec(
        int slots,
        long memoryTokens,
        int decodeStepsPerPass,
        double stepBaseMillis,
        double stepMillisPerSequence,
        double stepMillisPerThousandContextTokens,
        double prefillTokensPerMilli,
        double prefillMillisPerMillionPairs,
        boolean retainsPrompts) {
    /** Engines that retain no prompts. */
    public EngineSpec(
            int slots,
            long memoryTokens,
            int decodeStepsPerPass,
            double stepBaseMillis,
            double stepMillisPerSequence,
            double stepMillisPerThousandContextTokens,
            double prefillTokensPerMilli,
            double prefillMillisPerMillionPairs) {
        this(
                slots,
                memoryTokens,
                decodeStepsPerPass,
                stepBaseMillis,
                stepMillisPerSequence,
                stepMillisPerThousandContextTokens,
                prefillTokensPerMilli,
                prefillMillisPerMillionPairs,
                false);
    }
}
