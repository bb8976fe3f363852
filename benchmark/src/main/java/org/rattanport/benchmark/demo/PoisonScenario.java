package org.rattanport.benchmark.demo;

import java.time.Duration;
import org.rattanport.standins.engine.EngineStandIn;
import org.rattanport.standins.fleet.PromptOutcome;

/** A prompt that kills each engine that reads it, sent again and again. */
public final class PoisonScenario implements Scenario {
    private static final int SENDS = 4;
    private static final int ALLOWED_DEATHS = 2;

    @Override
    public int order() {
        return 50;
    }

    @Override
    public String title() {
        return "a prompt that kills engines, sent again at other instances";
    }

    @Override
    public void run(DemoContext context) {
        var prompt = context.prompt("poison " + EngineStandIn.DEADLY_TEXT, 1_000, 20);
        long before = incarnations(context);
        for (int i = 0; i < SENDS; i++) {
            PromptOutcome outcome =
                    context.fleet().client().prompt(context.fleet().address(i % 3), prompt);
            context.check(prompt, outcome);
            restartDead(context);
        }
        long deaths = incarnations(context) - before;
        context.tally()
                .check(
                        Promise.ENDS_IN_TIME,
                        deaths <= ALLOWED_DEATHS,
                        "a poison prompt took down " + deaths + " engines");
    }

    private static void restartDead(DemoContext context) {
        for (EngineStandIn engine : context.fleet().engines()) {
            if (!engine.isRunning()) {
                engine.restart();
            }
        }
        DemoContext.await(Duration.ofMillis(1500), () -> false);
    }

    private static long incarnations(DemoContext context) {
        return context.fleet().engines().stream().mapToLong(EngineStandIn::incarnation).sum();
    }
}
