package org.rattanport.decisions.placement;

import java.util.List;
import java.util.Set;
import org.rattanport.decisions.target.EngineBoard.Candidate;
import org.rattanport.kernel.environment.EnvironmentDocument;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.request.PromptRequest;

/**
 * What a placement is decided on.
 *
 * @param request the prompt
 * @param document environment that it was admitted under
 * @param lengthClass index of its length class
 * @param waitedSeconds time that it has waited in the queue
 * @param excluded engines that earlier attempts failed on
 * @param candidates engines that may get work
 * @param instances entry instances that share the engines
 * @param nowNanos monotonic time of the decision
 */
public record PlacementRequest(
        PromptRequest request,
        EnvironmentDocument document,
        int lengthClass,
        double waitedSeconds,
        Set<TargetId> excluded,
        List<Candidate> candidates,
        int instances,
        long nowNanos) {
    /** Candidates that no earlier attempt failed on, or all when none is left. */
    public List<Candidate> allowed() {
        if (excluded.isEmpty()) {
            return candidates;
        }
        List<Candidate> allowed =
                candidates.stream().filter(each -> !excluded.contains(each.target().id())).toList();
        return allowed.isEmpty() ? candidates : allowed;
    }
}
