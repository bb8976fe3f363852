package org.rattanport.kernel.target;

import org.rattanport.kernel.model.Target;

/**
 * A prefilled segment of a prompt, whose KV cache an engine holds.
 *
 * @param holder engine that holds the KV cache
 * @param key key of the segment at the holder
 * @param tokens length of the segment
 */
public record PrefilledSegment(Target holder, String key, int tokens) {}
