package org.rattanport.kernel.target;

import java.util.List;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.request.PromptRequest;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.Deadline;

/**
 * One attempt of a prompt at an engine.
 *
 * @param request the prompt
 * @param prompt text that this engine reads: the whole prompt, or its last segment
 * @param attempt number of the attempt, rising over all instances that serve the request
 * @param owner instance that holds the engine's memory for it
 * @param enginePriority higher goes first inside the engine
 * @param continuation what the caller already has of the answer
 * @param pieces segments of the prompt that other engines hold, in order
 * @param deadline when the engine may drop the attempt
 * @param cancellation ends the attempt early
 */
public record EngineCall(
        PromptRequest request,
        String prompt,
        int attempt,
        InstanceId owner,
        int enginePriority,
        Continuation continuation,
        List<SegmentPiece> pieces,
        Deadline deadline,
        Cancellation cancellation) {
    /** Key of the attempt at the engine. */
    public String streamKey() {
        return request.id() + "/" + attempt;
    }
}
