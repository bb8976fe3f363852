package org.rattanport.decisions.admission;

import java.time.Duration;
import java.util.List;
import java.util.function.IntSupplier;
import org.rattanport.decisions.cost.CostModel;
import org.rattanport.decisions.ordering.Dispatcher;
import org.rattanport.decisions.target.EngineLoadTable;
import org.rattanport.decisions.target.EngineLoadTable.Candidate;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.request.PromptRequest;
import org.rattanport.kernel.time.TimeSource;

/**
 * Refuses a prompt that is not expected to complete before its deadline. All instances share the
 * engines of the pool; the check assumes that their queues are as long as the local one.
 */
public final class DeadlineCheck implements AdmissionCheck {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Prompts of other accounts may overtake this one, so the wait can exceed the estimate. */
    private static final double SAFETY_FACTOR = 1.25;

    private final Dispatcher.EngineSource mEngineSource;
    private final EngineLoadTable mEngineLoads;
    private final CostModel mCost;
    private final Dispatcher mDispatcher;
    private final IntSupplier mInstanceCount;
    private final TimeSource mTime;

    public DeadlineCheck(
            Dispatcher.EngineSource engineSource,
            EngineLoadTable engineLoads,
            CostModel cost,
            Dispatcher dispatcher,
            IntSupplier instanceCount,
            TimeSource time) {
        mEngineSource = engineSource;
        mEngineLoads = engineLoads;
        mCost = cost;
        mDispatcher = dispatcher;
        mInstanceCount = instanceCount;
        mTime = time;
    }

    @Override
    public void check(AdmissionRequest admission) {
        PromptRequest request = admission.request();
        List<Candidate> candidates =
                mEngineLoads.candidates(mEngineSource.engines(request.model()));
        if (candidates.isEmpty()) {
            return;
        }
        double expected = expectedSeconds(admission, candidates);
        double remaining = request.deadline().remaining(mTime).toNanos() / NANOS_PER_SECOND;
        if (expected * SAFETY_FACTOR > remaining) {
            throw RattanportException.builder(
                            ErrorCode.DEADLINE_NOT_FEASIBLE,
                            String.format(
                                    "the answer is expected to take %.1f s; the deadline is in"
                                            + " %.1f s",
                                    expected, remaining))
                    .retryAfter(
                            Duration.ofMillis(
                                    (long) ((expected - remaining) * MILLIS_PER_SECOND) + 100))
                    .build();
        }
    }

    private double expectedSeconds(AdmissionRequest admission, List<Candidate> candidates) {
        PromptRequest request = admission.request();
        double best =
                candidates.stream()
                        .mapToDouble(
                                each ->
                                        mCost.secondsToFirstToken(
                                                        each.load(), request.promptTokens())
                                                + mCost.decodeSeconds(each.load(), request))
                        .min()
                        .orElse(0);
        return best + queueSeconds(admission, candidates);
    }

    private double queueSeconds(AdmissionRequest admission, List<Candidate> candidates) {
        int lengthClass = admission.lengthClass();
        double queued =
                (double) mDispatcher.queuedTokens(admission.request().model(), lengthClass)
                        * mInstanceCount.getAsInt();
        var classes = admission.environment().document().lengthClasses();
        int totalShare = classes.stream().mapToInt(each -> each.engineSharePercent()).sum();
        double share =
                totalShare == 0
                        ? 1
                        : (double) classes.get(lengthClass).engineSharePercent() / totalShare;
        double rate =
                candidates.stream()
                        .mapToDouble(each -> CostModel.prefillRate(each.load().report()))
                        .sum();
        return queued / Math.max(1, rate * Math.max(share, 1.0 / candidates.size()));
    }
}
