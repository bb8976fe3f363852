package org.rattanport.decisions.gateway.placement;

import java.util.List;
import org.rattanport.kernel.gateway.BackEnd;

/** Engines of which nothing is known, or that retain no prompts. */
public final class NoRetainedPrompts implements RetainedPrompts {
    @Override
    public long heldTokens(BackEnd engine, List<PromptPrefix> prefixes, long roomTokens) {
        return 0;
    }

    @Override
    public void recordPlaced(Placement placement, List<PromptPrefix> prefixes) {}

    @Override
    public void recordEnded(String attemptId) {}

    @Override
    public void recordFailure(String engineId, double weight) {}
}
