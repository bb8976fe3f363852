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
 * @param document environment document under which the prompt was admitted
 * @param lengthClass index of the prompt's length class
 * @param weight weight of the client account
 * @param excluded engines on which earlier attempts failed
 * @param arrivalNanos monotonic time at which the attempt was queued
 * @param finishTag virtual finish time of the attempt in weighted fair queueing
 * @param placed future that completes with the placement
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
