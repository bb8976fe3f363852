package org.rattanport.standins.engine;

import java.time.Duration;

/**
 * Speed and memory of a stand-in engine. Times are engine time, the simulated time of the engine.
 *
 * @param memoryTokens memory capacity in tokens
 * @param prefillTokensPerSecond prompt tokens prefilled in a second
 * @param stepTime time of one batch step without prefill
 * @param perStreamTime additional time of a step for each running stream
 * @param prefillChunkTokens maximum of prompt tokens that one step prefills
 * @param loadReportLag maximum age of a load report
 * @param modelLoadTime time to load a model version
 * @param timeScale engine seconds in one second of machine time
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

    /** Profile of an engine that prefills 20,000 tokens a second and holds 400,000 in memory. */
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

    /** Duration of one batch step in nanoseconds of machine time. */
    long stepNanos(double prefillTokens, int streams) {
        double engineNanos =
                stepTime.toNanos()
                        + perStreamTime.toNanos() * (double) streams
                        + prefillTokens / prefillTokensPerSecond * NANOS_PER_SECOND;
        return (long) (engineNanos / timeScale);
    }

    /** Prompt tokens prefilled in one second of machine time, including the fixed time of steps. */
    public double reportedPrefillTokensPerSecond() {
        return prefillChunkTokens * NANOS_PER_SECOND / stepNanos(prefillChunkTokens, 0);
    }

    /** Seconds of machine time between two output tokens of an engine with four streams. */
    public double reportedSecondsPerOutputToken() {
        return stepNanos(0, 4) / NANOS_PER_SECOND;
    }
}
