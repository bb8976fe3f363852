package org.rattanport.kernel.target;

import io.reactivex.rxjava3.core.Flowable;
import java.util.List;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.time.Deadline;

/**
 * Client of model engines. Errors carry the verdict of the attempt and one of the codes {@code
 * TARGET_REFUSED} (the engine did nothing), {@code TARGET_FAILED} or {@code ANSWER_CUT}.
 */
public interface EngineClient {
    /**
     * Generates an answer. The stream reads from the engine on the subscribing task, as fast as the
     * subscriber accepts chunks, and completes only after the chunk marked last.
     */
    Flowable<AnswerChunk> generate(Target target, EngineCall call);

    /**
     * Releases the memory of the key. Idempotent; keys that the engine does not know are ignored.
     */
    void release(Target target, String key, Deadline deadline);

    TargetLoad loadReport(Target target, Deadline deadline);

    List<MemoryAllocation> memoryAllocations(Target target, Deadline deadline);

    /** Reserves memory for a segment; returns false if the engine has too little free memory. */
    boolean reserve(Target target, SegmentPrefill prefill);

    /** Prefills the segment into its reservation and returns once the engine holds it. */
    PrefilledSegment prefillSegment(Target target, SegmentPrefill prefill);

    EngineState state(Target target, Deadline deadline);

    /** Sets the desired state; returns false if the engine refuses the fencing number. */
    boolean assignModel(Target target, ModelAssignment assignment, Deadline deadline);
}
