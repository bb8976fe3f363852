package org.rattanport.kernel.gateway;

/**
 * The part of a request that is placed on one engine.
 *
 * @param engine id of the engine
 * @param readTokens prompt tokens that the engine prefills
 * @param readMillis time that an otherwise idle engine takes to prefill them
 * @param heldTokens memory that the request occupies on the engine, in tokens
 * @param isWriter whether the engine decodes the answer
 */
public record Share(
        String engine, int readTokens, double readMillis, int heldTokens, boolean isWriter) {}
