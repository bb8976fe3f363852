package org.rattanport.decisions.gateway.explain;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.rattanport.kernel.gateway.PromptPart;
import org.rattanport.kernel.gateway.PromptSize;

/**
 * The prompt about whose placement an operator asks.
 *
 * @param route name of the route
 * @param account name of the account, if the caller has one
 * @param size size of the prompt and of its answer
 * @param parts parts of the prompt, in order; empty if they do not matter
 * @param excluded ids of engines that may not be used, as after failed attempts
 */
public record PlacementQuestion(
        String route,
        Optional<String> account,
        PromptSize size,
        List<PromptPart> parts,
        Set<String> excluded) {}
