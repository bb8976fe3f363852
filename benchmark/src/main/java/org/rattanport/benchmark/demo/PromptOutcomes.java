package org.rattanport.benchmark.demo;

import java.util.Optional;
import org.rattanport.standins.fleet.PromptOutcome;

/** Outcomes that stand for something else than a prompt. */
final class PromptOutcomes {
    /** Result of a task that sends no prompt. */
    static final PromptOutcome NO_PROMPT =
            new PromptOutcome(0, "", 0, true, "", "", 0, 0, "", Optional.empty());

    private PromptOutcomes() {}
}
