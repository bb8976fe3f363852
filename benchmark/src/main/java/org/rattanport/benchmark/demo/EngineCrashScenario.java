package org.rattanport.benchmark.demo;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.standins.engine.EngineStandIn;
import org.rattanport.standins.fleet.PromptOutcome;

/** One engine crashes while it generates answers and another drains; all answers are complete. */
public final class EngineCrashScenario implements Scenario {
    private static final int PROMPTS = 24;

    @Override
    public int order() {
        return 40;
    }

    @Override
    public String title() {
        return "an engine crashes midway and restarts, and another one drains";
    }

    @Override
    public void run(DemoContext context) {
        EngineStandIn crashing = context.fleet().engines().getFirst();
        Tasks.start(
                "kill-engine",
                () -> {
                    DemoContext.await(Duration.ofSeconds(5), () -> crashing.usedMemoryTokens() > 0);
                    crashing.crash();
                });
        List<PromptOutcome> outcomes = sendAll(context, "death");
        long answered = outcomes.stream().filter(PromptOutcome::isComplete).count();
        context.promiseChecks()
                .record(
                        Promise.WHOLE_ANSWER,
                        answered == PROMPTS,
                        answered
                                + " of "
                                + PROMPTS
                                + " prompts were answered while an engine crashed");
        crashing.restart();
        drainEngine(context);
    }

    private static void drainEngine(DemoContext context) {
        EngineStandIn draining = context.fleet().engines().get(1);
        draining.drain();
        // The instance list may state the drain late or never, so the load report must suffice.
        DemoContext.await(Duration.ofMillis(3200), () -> false);
        sendAll(context, "leaving");
        context.promiseChecks()
                .record(
                        Promise.LEAVING_GETS_NOTHING,
                        draining.requestsAfterDrainGrace() == 0,
                        draining.requestsAfterDrainGrace()
                                + " prompts were sent to a draining engine");
        draining.crash();
        draining.restart();
    }

    private static List<PromptOutcome> sendAll(DemoContext context, String name) {
        return DemoContext.runConcurrently(
                IntStream.range(0, PROMPTS)
                        .<Callable<PromptOutcome>>mapToObj(
                                i ->
                                        () ->
                                                context.sendAndCheck(
                                                        i % 3,
                                                        context.createPrompt(
                                                                name + "-" + i, 2_000, 200))));
    }
}
