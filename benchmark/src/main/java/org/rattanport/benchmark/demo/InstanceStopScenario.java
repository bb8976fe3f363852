package org.rattanport.benchmark.demo;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.rattanport.daemon.Instance;
import org.rattanport.standins.fleet.CallerClient;
import org.rattanport.standins.fleet.Fleet;
import org.rattanport.standins.fleet.PromptOutcome;

/**
 * One instance stops gracefully under load. Another is killed, and its callers resume their answers
 * at a third instance.
 */
public final class InstanceStopScenario implements Scenario {
    private static final int PROMPTS = 12;

    @Override
    public int order() {
        return 60;
    }

    @Override
    public String title() {
        return "a graceful stop under load, then a crash after which callers resume";
    }

    @Override
    public void run(DemoContext context) {
        stopUnderLoad(context);
        killAndResume(context);
        checkMemoryReleased(context);
    }

    private static void stopUnderLoad(DemoContext context) {
        Fleet fleet = context.fleet();
        Instance stopping = fleet.instances().get(2);
        String address = stopping.localAddresses().callerAddress();
        AtomicBoolean hasEndedAllRequests = new AtomicBoolean();
        Callable<Boolean> stop =
                () -> {
                    hasEndedAllRequests.set(fleet.stop(stopping));
                    return true;
                };
        Stream<Callable<Boolean>> prompts =
                IntStream.range(0, PROMPTS)
                        .mapToObj(i -> context.createPrompt("stop-" + i, 3_000, 400))
                        .map(prompt -> () -> isAnswered(context, address, prompt));
        Stream<Callable<Boolean>> calls = Stream.concat(Stream.of(stop), prompts);
        long succeeded = DemoContext.runConcurrently(calls).stream().filter(each -> each).count();
        context.promiseChecks()
                .record(
                        Promise.STOP_CUTS_NOTHING,
                        hasEndedAllRequests.get() && succeeded == PROMPTS + 1,
                        succeeded - 1 + " of " + PROMPTS + " answered by a stopping instance");
    }

    private static boolean isAnswered(
            DemoContext context, String address, CallerClient.Prompt prompt) {
        PromptOutcome outcome = context.fleet().client().sendPrompt(address, prompt);
        context.checkAnswer(prompt, outcome);
        return outcome.isComplete();
    }

    private static void killAndResume(DemoContext context) {
        Fleet fleet = context.fleet();
        Instance killed = fleet.instances().get(1);
        String address = killed.localAddresses().callerAddress();
        String otherAddress = fleet.callerAddress(0);
        List<CallerClient.Prompt> prompts =
                IntStream.range(0, PROMPTS)
                        .mapToObj(i -> context.createPrompt("resume-" + i, 2_000, 600))
                        .toList();
        Callable<PromptOutcome> kill =
                () -> {
                    DemoContext.await(Duration.ofMillis(700), () -> false);
                    fleet.kill(killed);
                    return PromptOutcomes.NO_PROMPT;
                };
        Stream<Callable<PromptOutcome>> sends =
                prompts.stream().map(prompt -> () -> fleet.client().sendPrompt(address, prompt));
        Stream<Callable<PromptOutcome>> calls = Stream.concat(sends, Stream.of(kill));
        List<PromptOutcome> outcomes = DemoContext.runConcurrently(calls);
        for (int i = 0; i < PROMPTS; i++) {
            resumeAndCheck(context, otherAddress, prompts.get(i), outcomes.get(i));
        }
    }

    private static void resumeAndCheck(
            DemoContext context,
            String address,
            CallerClient.Prompt prompt,
            PromptOutcome interrupted) {
        if (interrupted.isComplete() || interrupted.resumeTicket().isEmpty()) {
            return;
        }
        PromptOutcome resumed =
                context.fleet()
                        .client()
                        .sendPrompt(
                                address,
                                prompt.resumed(
                                        interrupted.resumeTicket().get(), interrupted.tokens()));
        context.promiseChecks()
                .record(
                        Promise.WHOLE_ANSWER,
                        (interrupted.answerText() + resumed.answerText())
                                .equals(DemoContext.expectedAnswer(prompt)),
                        "resumed after " + interrupted.tokens() + " tokens: " + resumed.code());
    }

    private static void checkMemoryReleased(DemoContext context) {
        boolean isFree =
                DemoContext.await(
                        Duration.ofSeconds(30),
                        () ->
                                context.fleet().engines().stream()
                                        .allMatch(each -> each.usedMemoryTokens() == 0));
        context.promiseChecks()
                .record(
                        Promise.NO_MEMORY_LOST,
                        isFree,
                        "engines have not released all memory after 30 s without requests");
    }
}
