package org.rattanport.kernel.target;

import org.rattanport.kernel.model.InstanceId;

/**
 * Memory of an engine that a stream or a prefilled segment occupies.
 *
 * @param key key of the stream or segment
 * @param owner instance that requested the memory
 * @param tokens size in tokens
 * @param ageSeconds seconds since it was created or last read
 */
public record MemoryAllocation(String key, InstanceId owner, long tokens, double ageSeconds) {}
