package org.rattanport.kernel.target;

import java.util.List;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.time.Deadline;

/**
 * The prefill of one segment of a prompt that spans engines.
 *
 * @param key name of the piece that the engine keeps
 * @param text the segment
 * @param tokens its length
 * @param owner instance that holds the engine's memory
 * @param earlier pieces of the earlier segments, which the engine reads from their holders
 * @param deadline when the engine may drop the piece
 */
public record SegmentCall(
        String key,
        String text,
        int tokens,
        InstanceId owner,
        List<SegmentPiece> earlier,
        Deadline deadline) {}
