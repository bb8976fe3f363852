package org.rattanport.decisions.prompt;

import java.util.List;
import org.rattanport.decisions.placement.Placement;
import org.rattanport.kernel.target.Continuation;
import org.rattanport.kernel.target.SegmentPiece;

/**
 * One attempt after it was placed.
 *
 * @param number attempt number, rising over all instances that serve the request
 * @param key key at the engine and in the load accounts
 * @param placement where it goes
 * @param continuation what the caller already has
 * @param prompt text that the engine reads
 * @param pieces earlier segments that other engines hold
 */
record Attempt(
        int number,
        String key,
        Placement placement,
        Continuation continuation,
        String prompt,
        List<SegmentPiece> pieces) {}
