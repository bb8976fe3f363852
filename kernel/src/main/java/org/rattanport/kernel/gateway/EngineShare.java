package org.rattanport.kernel.gateway;

/**
 * The part of a request that is placed on one engine.
 *
 * @param engineId id of the engine
 * @param prefillTokens prompt tokens that the engine prefills
 * @param prefillMillis time that an otherwise idle engine takes to prefill them
 * @param memoryTokens memory that the request occupies on the engine, in tokens
 * @param isDecodeEngine whether the engine decodes the answer
 */
public record EngineShare(
        String engineId,
        int prefillTokens,
        double prefillMillis,
        int memoryTokens,
        boolean isDecodeEngine) {}
