package org.rattanport.kernel.gateway;

/**
 * The part of a request that one engine does.
 *
 * @param engine id of the engine
 * @param readTokens prompt tokens that it reads
 * @param readMillis time that reading them takes an engine that does nothing else
 * @param heldTokens tokens of memory that the request takes there
 * @param isWriter whether the answer is written there
 */
public record Share(
        String engine, int readTokens, double readMillis, int heldTokens, boolean isWriter) {}
