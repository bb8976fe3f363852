package org.rattanport.decisions.gateway.explain;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.rattanport.decisions.gateway.placement.EngineEstimate;
import org.rattanport.decisions.gateway.placement.Placement;

/**
 * Where a prompt would be placed now, by what one instance knows.
 *
 * @param service name of the service
 * @param documentVersion version of the document in force
 * @param refusal why the prompt would be refused, if it would be
 * @param groups the groups of engines, of which a prompt goes to a random one
 * @param engines all registered engines of the service
 */
public record PlacementExplanation(
        String service,
        long documentVersion,
        Optional<Refusal> refusal,
        List<Group> groups,
        List<Engine> engines) {
    /**
     * Why a prompt would be refused as not run.
     *
     * @param limit the limit that causes it
     * @param message what it means here
     * @param retryAfter time after which it may be accepted, if it is known
     */
    public record Refusal(Limit limit, String message, Optional<Duration> retryAfter) {}

    /** What may cause a refusal. */
    public enum Limit {
        /** The account is unknown and the route is not public. */
        ACCOUNT,
        /** Engines crashed while running prompts with one of the parts. */
        CRASHING_PART,
        /** No engine of the service is registered. */
        NO_ENGINE,
        /** Gates keep requests away from each engine that is not excluded or leaving. */
        GATES,
        /** Each engine is excluded or leaving. */
        EXCLUDED
    }

    /**
     * The placement in one group of engines.
     *
     * @param index index of the group
     * @param coordinator name of the instance that places prompts there, which knows their load
     *     best
     * @param isCoordinatedHere whether that is this instance
     * @param placement where the prompt would be placed; empty if no engine of the group takes it
     */
    public record Group(
            int index,
            String coordinator,
            boolean isCoordinatedHere,
            Optional<Placement> placement) {}

    /**
     * One engine.
     *
     * @param group index of its group
     * @param reason why it was chosen or passed over
     * @param detail more about the reason, or an empty string
     * @param estimate what placing the whole prompt there would bring about
     */
    public record Engine(
            String id,
            String dataCentre,
            int group,
            Reason reason,
            String detail,
            EngineEstimate estimate) {}

    /** Why an engine was chosen or passed over. */
    public enum Reason {
        /** It would decode the answer. */
        CHOSEN,
        /** It would prefill a part of the prompt for the chosen engine. */
        PREFILLS_PART,
        /** It accepts no new requests, as it leaves by its registry entry. */
        LEAVING,
        /** A gate keeps requests away. */
        GATE,
        /** It was excluded by the question. */
        EXCLUDED,
        /** It failed lately, and the group has engines that did not. */
        UNHEALTHY,
        /** It has no free slot. */
        FULL,
        /** It has too little free memory. */
        NO_MEMORY,
        /** The chosen placement costs less. */
        DEARER
    }
}
