package org.rattanport.kernel.target;

import java.util.List;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.request.PromptRequest;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.Deadline;

/**
 * One attempt to run a prompt at an engine.
 *
 * @param request the prompt request
 * @param prompt text that this engine prefills: the whole prompt, or its last segment
 * @param attempt number of the attempt; it rises across all instances that serve the request
 * @param owner instance that owns the memory of the attempt at the engine
 * @param enginePriority priority inside the engine; higher values are served first
 * @param continuation the part of the answer that the caller already received
 * @param prefilledSegments segments of the prompt that other engines prefilled, in order
 * @param deadline time after which the engine may cancel the attempt
 * @param cancellation cancels the attempt
 */
public record EngineCall(
        PromptRequest request,
        String prompt,
        int attempt,
        InstanceId owner,
        int enginePriority,
        Continuation continuation,
        List<PrefilledSegment> prefilledSegments,
        Deadline deadline,
        Cancellation cancellation) {
    /** Returns the key of the attempt's stream at the engine. */
    public String streamKey() {
        return request.id() + "/" + attempt;
    }
}
