package org.rattanport.benchmark.demo;

import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.rattanport.standins.fleet.PromptOutcome;

/** Sends prompts of different lengths at once, one of them larger than the memory of an engine. */
public final class PromptLengthsScenario implements Scenario {
    private static final int OUTPUT_TOKENS = 48;

    @Override
    public int order() {
        return 10;
    }

    @Override
    public String title() {
        return "prompts from a thousand to a million tokens at the same time";
    }

    @Override
    public void run(DemoContext context) {
        Stream<Callable<PromptOutcome>> calls =
                Stream.of(
                                IntStream.range(0, 24)
                                        .mapToObj(i -> call(context, "short", i, 1_000)),
                                IntStream.range(0, 6)
                                        .mapToObj(i -> call(context, "middle", i, 30_000)),
                                IntStream.range(0, 2)
                                        .mapToObj(i -> call(context, "long", i, 200_000)),
                                Stream.of(call(context, "spanning", 0, 1_000_000)))
                        .flatMap(each -> each);
        for (PromptOutcome outcome : DemoContext.runConcurrently(calls)) {
            context.promiseChecks()
                    .record(
                            Promise.WHOLE_ANSWER,
                            outcome.isComplete(),
                            "a prompt was not answered: " + outcome.code());
        }
    }

    private static Callable<PromptOutcome> call(
            DemoContext context, String lengthClass, int index, int tokens) {
        return () -> {
            var prompt = context.createPrompt(lengthClass + "-" + index, tokens, OUTPUT_TOKENS);
            PromptOutcome outcome = context.sendAndCheck(index % 3, prompt);
            context.recordFirstToken(lengthClass, outcome);
            return outcome;
        };
    }
}
