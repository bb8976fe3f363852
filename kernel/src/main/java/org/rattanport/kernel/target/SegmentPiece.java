package org.rattanport.kernel.target;

import org.rattanport.kernel.model.Target;

/**
 * A segment of a prompt whose KV cache an engine holds.
 *
 * @param holder engine that holds it
 * @param key name of the piece at the holder
 * @param tokens length of the segment
 */
public record SegmentPiece(Target holder, String key, int tokens) {}
