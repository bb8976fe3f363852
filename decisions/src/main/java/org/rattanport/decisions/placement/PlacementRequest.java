package org.rattanport.decisions.placement;

import java.util.List;
import java.util.Set;
import org.rattanport.decisions.target.EngineLoadTable.Candidate;
import org.rattanport.kernel.environment.EnvironmentDocument;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.request.PromptRequest;

/**
 * Input of a placement decision.
 *
 * @param request the prompt
 * @param document environment document under which the prompt was admitted
 * @param lengthClass index of the prompt's length class
 * @param waitedSeconds time that the prompt has waited in the queue
 * @param excluded engines on which earlier attempts failed
 * @param candidates engines that accept new work, with their load
 * @param instances number of instances that share the engines
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
    /** Candidates on which no earlier attempt failed, or all candidates when there is none. */
    public List<Candidate> allowed() {
        if (excluded.isEmpty()) {
            return candidates;
        }
        List<Candidate> allowed =
                candidates.stream().filter(each -> !excluded.contains(each.target().id())).toList();
        return allowed.isEmpty() ? candidates : allowed;
    }
}
