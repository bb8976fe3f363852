package org.rattanport.kernel.model;

/**
 * One load report of an engine. Reports lag behind the state that they describe.
 *
 * @param target the engine and its incarnation
 * @param sequence number of the report, rising within an incarnation
 * @param waitingPromptTokens prompt tokens that wait for or are in prefill
 * @param runningStreams answers that are being generated
 * @param usedMemoryTokens tokens held by streams, reservations and exported pieces
 * @param totalMemoryTokens tokens that fit into memory
 * @param prefillTokensPerSecond rate that the engine states; zero when unknown
 * @param secondsPerOutputToken pace of generation that the engine states; zero when unknown
 * @param isLeaving whether the engine refuses new work
 */
public record TargetLoad(
        TargetId target,
        long sequence,
        long waitingPromptTokens,
        int runningStreams,
        long usedMemoryTokens,
        long totalMemoryTokens,
        double prefillTokensPerSecond,
        double secondsPerOutputToken,
        boolean isLeaving) {}
