package org.rattanport.kernel.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A prompt to place at the engines of a group.
 *
 * @param attemptId attempt id of the request
 * @param service name of its service
 * @param group engines that may run it
 * @param size declared size of the prompt
 * @param objective time within which the first event is on time
 * @param maxEventGap longest gap between events that is on time
 * @param parts all parts of the prompt in order, if the engines retain prompts; empty otherwise
 * @param excluded ids of engines that may not be used, because they failed or refused the request
 * @param waited time that the request has waited for its placement
 * @param mayWait whether it may wait on
 */
public record PlacementDemand(
        String attemptId,
        String service,
        EngineGroup group,
        Optional<PromptSize> size,
        Duration objective,
        Duration maxEventGap,
        List<PromptPart> parts,
        Set<String> excluded,
        Duration waited,
        boolean mayWait) {
    /** A prompt of which no part is known, or whose engines retain no prompts. */
    public PlacementDemand(
            String attemptId,
            String service,
            EngineGroup group,
            Optional<PromptSize> size,
            Duration objective,
            Duration maxEventGap,
            Set<String> excluded) {
        this(attemptId, service, group, size, objective, maxEventGap, List.of(), excluded);
    }

    /** A prompt that is placed at once. */
    public PlacementDemand(
            String attemptId,
            String service,
            EngineGroup group,
            Optional<PromptSize> size,
            Duration objective,
            Duration maxEventGap,
            List<PromptPart> parts,
            Set<String> excluded) {
        this(
                attemptId,
                service,
                group,
                size,
                objective,
                maxEventGap,
                parts,
                excluded,
                Duration.ZERO,
                false);
    }

    /** Returns the same demand for the engines of a group. */
    public PlacementDemand inGroup(EngineGroup newGroup) {
        return new PlacementDemand(
                attemptId,
                service,
                newGroup,
                size,
                objective,
                maxEventGap,
                parts,
                excluded,
                waited,
                mayWait);
    }

    /** Returns the same demand of a request that may wait on. */
    public PlacementDemand waiting(Duration newWaited) {
        return new PlacementDemand(
                attemptId,
                service,
                group,
                size,
                objective,
                maxEventGap,
                parts,
                excluded,
                newWaited,
                true);
    }
}
