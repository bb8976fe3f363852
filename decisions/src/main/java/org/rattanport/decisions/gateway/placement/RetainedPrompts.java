package org.rattanport.decisions.gateway.placement;

import java.util.List;
import org.rattanport.kernel.gateway.BackEnd;

/**
 * Tells which beginnings of prompts the engines still hold. It may be wrong: a request for a
 * beginning that its engine no longer holds is answered later than predicted, and nothing else.
 */
public interface RetainedPrompts {
    /**
     * Returns how many tokens of the prompt's beginning the engine holds.
     *
     * @param prefixes prefixes of the prompt, the shortest one first
     * @param roomTokens memory of the engine that running requests leave, in tokens
     */
    long heldTokens(BackEnd engine, List<PromptPrefix> prefixes, long roomTokens);

    /** Records that the prompt with these prefixes was placed. */
    void recordPlaced(Placement placement, List<PromptPrefix> prefixes);

    /** Records that a request runs on no engine any more. */
    void recordEnded(String attemptId);

    /** Records that an engine failed a request; a larger weight tells more about its health. */
    void recordFailure(String engineId, double weight);
}
