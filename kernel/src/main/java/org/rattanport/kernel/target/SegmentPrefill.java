package org.rattanport.kernel.target;

import java.util.List;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.time.Deadline;

/**
 * The prefill of one segment of a prompt that spans engines.
 *
 * @param key key of the prefilled segment at the engine
 * @param text text of the segment
 * @param tokens length of the segment
 * @param owner instance that owns the memory at the engine
 * @param earlierSegments earlier segments of the prompt; the engine fetches their KV cache from
 *     their holders
 * @param deadline time after which the engine may discard the segment
 */
public record SegmentPrefill(
        String key,
        String text,
        int tokens,
        InstanceId owner,
        List<PrefilledSegment> earlierSegments,
        Deadline deadline) {}
