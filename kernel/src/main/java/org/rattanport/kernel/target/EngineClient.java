package org.rattanport.kernel.target;

import io.reactivex.rxjava3.core.Flowable;
import java.util.List;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.time.Deadline;

/**
 * Speaks with model engines. Failures carry the verdict of the attempt and one of the codes {@code
 * TARGET_REFUSED} (the engine did nothing), {@code TARGET_FAILED} or {@code ANSWER_CUT}.
 */
public interface EngineClient {
    /**
     * Generates an answer. The stream reads from the engine on the task that subscribes, as fast as
     * the subscriber takes chunks, and completes only after the chunk marked last.
     */
    Flowable<AnswerChunk> generate(Target target, EngineCall call);

    /** Frees what the key holds; safe to repeat, and for keys that the engine does not know. */
    void release(Target target, String key, Deadline deadline);

    TargetLoad load(Target target, Deadline deadline);

    List<EngineHolding> holdings(Target target, Deadline deadline);

    /** Reserves memory for a piece; false when it does not fit. */
    boolean reserve(Target target, SegmentCall call);

    /** Computes the piece into its reservation; returns when it is held. */
    SegmentPiece computeSegment(Target target, SegmentCall call);

    EngineState state(Target target, Deadline deadline);

    /** Sets the desired state; false when the engine refuses the fencing number. */
    boolean order(Target target, ModelOrder order, Deadline deadline);
}
