package org.rattanport.decisions.ordering;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.rattanport.decisions.placement.Placement;
import org.rattanport.kernel.environment.EnvironmentDocument;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.request.PromptRequest;

/**
 * An attempt that waits for an engine.
 *
 * @param request the prompt
 * @param key key of the attempt
 * @param document environment that it was admitted under
 * @param lengthClass index of its length class
 * @param weight weight of its account
 * @param excluded engines that earlier attempts failed on
 * @param arrivalNanos when it began to wait
 * @param finishTag virtual finish time of its account in weighted fair queueing
 * @param placed completed with its placement
 */
public record QueueEntry(
        PromptRequest request,
        String key,
        EnvironmentDocument document,
        int lengthClass,
        int weight,
        Set<TargetId> excluded,
        long arrivalNanos,
        double finishTag,
        CompletableFuture<Placement> placed) {}
