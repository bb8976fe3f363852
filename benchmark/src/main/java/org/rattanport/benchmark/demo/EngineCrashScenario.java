package org.rattanport.benchmark.demo;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.standins.engine.EngineStandIn;
import org.rattanport.standins.fleet.PromptOutcome;

/** An engine dies while it generates answers, another one leaves; callers still get whole texts. */
public final class EngineCrashScenario implements Scenario {
    private static final int PROMPTS = 24;

    @Override
    public int order() {
        return 40;
    }

    @Override
    public String title() {
        return "an engine dies midway, returns, and another one leaves";
    }

    @Override
    public void run(DemoContext context) {
        EngineStandIn dying = context.fleet().engines().getFirst();
        Tasks.start(
                "kill-engine",
                () -> {
                    DemoContext.await(Duration.ofSeconds(5), () -> dying.usedMemoryTokens() > 0);
                    dying.crash();
                });
        List<PromptOutcome> outcomes = sendAll(context, "death");
        long answered = outcomes.stream().filter(PromptOutcome::isComplete).count();
        context.promiseChecks()
                .record(
                        Promise.WHOLE_ANSWER,
                        answered == PROMPTS,
                        answered + " of " + PROMPTS + " answered over an engine's death");
        dying.restart();
        drainEngine(context);
    }

    private static void drainEngine(DemoContext context) {
        EngineStandIn leaving = context.fleet().engines().get(1);
        leaving.drain();
        // The list tells of it late or never; the engine's own word must be enough.
        DemoContext.await(Duration.ofMillis(3200), () -> false);
        sendAll(context, "leaving");
        context.promiseChecks()
                .record(
                        Promise.LEAVING_GETS_NOTHING,
                        leaving.requestsAfterDrainGrace() == 0,
                        leaving.requestsAfterDrainGrace()
                                + " prompts were sent to a leaving engine");
        leaving.crash();
        leaving.restart();
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
