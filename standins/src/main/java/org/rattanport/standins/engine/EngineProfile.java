package org.rattanport.standins.engine;

import java.time.Duration;

/**
 * Speed and size of a stand-in engine, in engine time.
 *
 * @param memoryTokens tokens that fit into memory
 * @param prefillTokensPerSecond prompt tokens that it reads in a second
 * @param stepTime time of one generation step without prefill
 * @param perStreamTime additional time of a step for each running stream
 * @param prefillChunkTokens prompt tokens that one step reads at most
 * @param loadReportLag age that a load report may have
 * @param modelLoadTime time to load a model version
 * @param timeScale engine seconds that pass in one second of the machine
 */
public record EngineProfile(
        long memoryTokens,
        double prefillTokensPerSecond,
        Duration stepTime,
        Duration perStreamTime,
        int prefillChunkTokens,
        Duration loadReportLag,
        Duration modelLoadTime,
        double timeScale) {
    private static final double NANOS_PER_SECOND = 1e9;

    /** An engine that reads 20,000 tokens a second and holds 400,000. */
    public static EngineProfile defaults(double timeScale) {
        return new EngineProfile(
                400_000,
                20_000,
                Duration.ofMillis(14),
                Duration.ofNanos(150_000),
                512,
                Duration.ofMillis(200),
                Duration.ofSeconds(4),
                timeScale);
    }

    /** Machine time of one step. */
    long stepNanos(double prefillTokens, int streams) {
        double engineNanos =
                stepTime.toNanos()
                        + perStreamTime.toNanos() * (double) streams
                        + prefillTokens / prefillTokensPerSecond * NANOS_PER_SECOND;
        return (long) (engineNanos / timeScale);
    }

    /** Prompt tokens in one second of the machine, the fixed time of steps included. */
    public double reportedPrefillTokensPerSecond() {
        return prefillChunkTokens * NANOS_PER_SECOND / stepNanos(prefillChunkTokens, 0);
    }

    /** Seconds of the machine between two output tokens of a lightly loaded engine. */
    public double reportedSecondsPerOutputToken() {
        return stepNanos(0, 4) / NANOS_PER_SECOND;
    }
}
