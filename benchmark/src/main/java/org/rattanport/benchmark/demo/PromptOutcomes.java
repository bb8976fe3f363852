package org.rattanport.benchmark.demo;

import java.util.Optional;
import org.rattanport.standins.fleet.PromptOutcome;

/** Placeholder outcomes for tasks that run among prompts. */
final class PromptOutcomes {
    /** Outcome of a task that sends no prompt. */
    static final PromptOutcome NO_PROMPT =
            new PromptOutcome(0, "", 0, true, "", "", 0, 0, "", Optional.empty());

    private PromptOutcomes() {}
}
