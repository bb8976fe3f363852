package org.rattanport.kernel.target;

import org.rattanport.kernel.model.InstanceId;

/**
 * Something that holds memory of an engine.
 *
 * @param key stream or piece
 * @param owner instance that asked for it
 * @param tokens memory held
 * @param ageSeconds seconds since it was made or last read
 */
public record EngineHolding(String key, InstanceId owner, long tokens, double ageSeconds) {}
