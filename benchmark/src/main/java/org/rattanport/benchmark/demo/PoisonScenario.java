package org.rattanport.benchmark.demo;

import java.time.Duration;
import org.rattanport.standins.engine.EngineStandIn;
import org.rattanport.standins.fleet.PromptOutcome;

/** Resends a prompt that crashes each engine that prefills it. */
public final class PoisonScenario implements Scenario {
    private static final int SENDS = 4;
    private static final int MAX_ENGINE_CRASHES = 2;

    @Override
    public int order() {
        return 50;
    }

    @Override
    public String title() {
        return "a prompt that crashes engines, sent again to other instances";
    }

    @Override
    public void run(DemoContext context) {
        var prompt = context.createPrompt("poison " + EngineStandIn.CRASH_TRIGGER, 1_000, 20);
        long incarnationsBefore = sumOfIncarnations(context);
        for (int i = 0; i < SENDS; i++) {
            PromptOutcome outcome =
                    context.fleet()
                            .client()
                            .sendPrompt(context.fleet().callerAddress(i % 3), prompt);
            context.checkAnswer(prompt, outcome);
            restartCrashedEngines(context);
        }
        long crashes = sumOfIncarnations(context) - incarnationsBefore;
        context.promiseChecks()
                .record(
                        Promise.ENDS_IN_TIME,
                        crashes <= MAX_ENGINE_CRASHES,
                        "a poison prompt crashed " + crashes + " engines");
    }

    private static void restartCrashedEngines(DemoContext context) {
        for (EngineStandIn engine : context.fleet().engines()) {
            if (!engine.isRunning()) {
                engine.restart();
            }
        }
        DemoContext.await(Duration.ofMillis(1500), () -> false);
    }

    private static long sumOfIncarnations(DemoContext context) {
        return context.fleet().engines().stream().mapToLong(EngineStandIn::incarnation).sum();
    }
}
