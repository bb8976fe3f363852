package org.rattanport.decisions;

import io.reactivex.rxjava3.core.Flowable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetLoad;
import org.rattanport.kernel.request.AnswerChunk;
import org.rattanport.kernel.target.EngineCall;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.target.EngineState;
import org.rattanport.kernel.target.MemoryAllocation;
import org.rattanport.kernel.target.ModelAssignment;
import org.rattanport.kernel.target.PrefilledSegment;
import org.rattanport.kernel.target.SegmentPrefill;
import org.rattanport.kernel.time.Deadline;

/**
 * In-memory engines with scripted memory allocations and model states; records releases and model
 * assignments.
 */
public final class FakeEngines implements EngineClient {
    /** Memory allocations of each engine, by engine name. */
    public final Map<String, List<MemoryAllocation>> mAllocations = new HashMap<>();

    /** Model state of each engine, by engine name. */
    public final Map<String, EngineState> mStates = new HashMap<>();

    /** Released keys, in call order. */
    public final List<String> mReleased = new ArrayList<>();

    /** Received model assignments, in call order. */
    public final List<ModelAssignment> mAssignments = new ArrayList<>();

    @Override
    public Flowable<AnswerChunk> generate(Target target, EngineCall call) {
        return Flowable.error(new RattanportException(ErrorCode.TARGET_FAILED, "not scripted"));
    }

    @Override
    public void release(Target target, String key, Deadline deadline) {
        mReleased.add(key);
        mAllocations
                .getOrDefault(target.id().name(), new ArrayList<>())
                .removeIf(each -> each.key().equals(key));
    }

    @Override
    public TargetLoad loadReport(Target target, Deadline deadline) {
        throw new RattanportException(ErrorCode.TARGET_FAILED, "not scripted");
    }

    @Override
    public List<MemoryAllocation> memoryAllocations(Target target, Deadline deadline) {
        return List.copyOf(mAllocations.getOrDefault(target.id().name(), List.of()));
    }

    @Override
    public boolean reserve(Target target, SegmentPrefill call) {
        return false;
    }

    @Override
    public PrefilledSegment prefillSegment(Target target, SegmentPrefill call) {
        return new PrefilledSegment(target, call.key(), call.tokens());
    }

    @Override
    public EngineState state(Target target, Deadline deadline) {
        return mStates.get(target.id().name());
    }

    @Override
    public boolean assignModel(Target target, ModelAssignment assignment, Deadline deadline) {
        mAssignments.add(assignment);
        mStates.put(
                target.id().name(),
                new EngineState(
                        assignment.model(),
                        assignment.version(),
                        true,
                        assignment.fencingNumber()));
        return true;
    }
}
