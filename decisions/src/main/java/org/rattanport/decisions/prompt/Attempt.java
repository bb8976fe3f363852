package org.rattanport.decisions.prompt;

import java.util.List;
import org.rattanport.decisions.placement.Placement;
import org.rattanport.kernel.target.Continuation;
import org.rattanport.kernel.target.PrefilledSegment;

/**
 * An attempt to run a prompt on an engine that placement has chosen.
 *
 * @param number attempt number; it increases across all instances that serve the request
 * @param key key of the attempt at the engine and in the load estimates
 * @param placement the engine and the priority inside it
 * @param continuation the part of the answer that the caller already has
 * @param prompt text that the engine prefills
 * @param prefilledSegments earlier segments of the prompt, in the memory of other engines
 */
record Attempt(
        int number,
        String key,
        Placement placement,
        Continuation continuation,
        String prompt,
        List<PrefilledSegment> prefilledSegments) {}
