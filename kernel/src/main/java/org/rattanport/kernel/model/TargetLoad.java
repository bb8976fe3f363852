package org.rattanport.kernel.model;

/**
 * A load report of an engine. Reports lag behind the actual state.
 *
 * @param target the engine and its incarnation
 * @param sequenceNumber sequence number of the report within the incarnation
 * @param waitingPromptTokens prompt tokens that wait for prefill or are being prefilled
 * @param runningStreams number of answers that are being generated
 * @param usedMemoryTokens memory in tokens that streams, reservations and exported segments occupy
 * @param totalMemoryTokens memory size in tokens
 * @param prefillTokensPerSecond prefill rate that the engine reports; 0 if unknown
 * @param secondsPerOutputToken decode time per token that the engine reports; 0 if unknown
 * @param isDraining whether the engine is draining: it refuses new work
 */
public record TargetLoad(
        TargetId target,
        long sequenceNumber,
        long waitingPromptTokens,
        int runningStreams,
        long usedMemoryTokens,
        long totalMemoryTokens,
        double prefillTokensPerSecond,
        double secondsPerOutputToken,
        boolean isDraining) {}
