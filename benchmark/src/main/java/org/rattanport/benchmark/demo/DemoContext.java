package org.rattanport.benchmark.demo;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.rattanport.benchmark.PromptTextGenerator;
import org.rattanport.standins.engine.DeterministicAnswer;
import org.rattanport.standins.fleet.CallerClient;
import org.rattanport.standins.fleet.Fleet;
import org.rattanport.standins.fleet.FleetDocument;
import org.rattanport.standins.fleet.PromptOutcome;

/** State that the scenarios share: the fleet, the promise checks and the times to first token. */
public final class DemoContext {
    private static final double TIME_LIMIT_SECONDS = 30;
    private static final double TIMEOUT_TOLERANCE_SECONDS = 1.0;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Fleet mFleet;
    private final PromiseChecks mPromiseChecks;
    private final PromptTextGenerator mPromptText;
    private final Map<String, List<Double>> mFirstTokenSeconds = new TreeMap<>();

    DemoContext(Fleet fleet, PromiseChecks promiseChecks, PromptTextGenerator promptText) {
        mFleet = fleet;
        mPromiseChecks = promiseChecks;
        mPromptText = promptText;
    }

    public Fleet fleet() {
        return mFleet;
    }

    public PromiseChecks promiseChecks() {
        return mPromiseChecks;
    }

    /** Creates a prompt of about the given number of tokens. */
    public CallerClient.Prompt createPrompt(String name, int tokens, int outputTokens) {
        return new CallerClient.Prompt(
                FleetDocument.accountKey(0),
                FleetDocument.MODEL,
                mPromptText.generate(name, tokens),
                outputTokens,
                TIME_LIMIT_SECONDS);
    }

    /** Sends a prompt to the instance at the index and checks its answer. */
    public PromptOutcome sendAndCheck(int instance, CallerClient.Prompt prompt) {
        PromptOutcome outcome = mFleet.client().sendPrompt(mFleet.callerAddress(instance), prompt);
        checkAnswer(prompt, outcome);
        return outcome;
    }

    /** Checks that an answer ends in time and is either complete or ends with an error. */
    public void checkAnswer(CallerClient.Prompt prompt, PromptOutcome outcome) {
        double seconds = outcome.totalNanos() / NANOS_PER_SECOND;
        mPromiseChecks.record(
                Promise.ENDS_IN_TIME,
                seconds <= prompt.timeoutSeconds() + TIMEOUT_TOLERANCE_SECONDS,
                "took " + seconds + " s");
        if (outcome.isComplete()) {
            mPromiseChecks.record(
                    Promise.WHOLE_ANSWER,
                    outcome.answerText().equals(expectedAnswer(prompt)),
                    "answer differs: " + outcome.requestId());
        } else {
            mPromiseChecks.record(
                    Promise.WHOLE_ANSWER,
                    !outcome.code().isEmpty(),
                    "an answer ended early without an error: " + outcome);
        }
    }

    /** Returns the answer that the stand-in engines generate for a prompt. */
    public static String expectedAnswer(CallerClient.Prompt prompt) {
        return DeterministicAnswer.text("user: " + prompt.text(), prompt.maxOutputTokens());
    }

    /** Records a time to first token for the printed summary. */
    public synchronized void recordFirstToken(String lengthClass, PromptOutcome outcome) {
        if (outcome.firstTokenNanos() > 0) {
            mFirstTokenSeconds
                    .computeIfAbsent(lengthClass, ignored -> new CopyOnWriteArrayList<>())
                    .add(outcome.firstTokenNanos() / NANOS_PER_SECOND);
        }
    }

    /** Returns the recorded times to first token in seconds by length class. */
    public Map<String, List<Double>> firstTokenSeconds() {
        return mFirstTokenSeconds;
    }

    /** Runs the calls concurrently, each on its own task, and returns their results in order. */
    public static <T> List<T> runConcurrently(Stream<Callable<T>> calls) {
        try (ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<T>> futures = calls.map(tasks::submit).toList();
            return futures.stream().map(DemoContext::result).toList();
        }
    }

    private static <T> T result(Future<T> future) {
        try {
            return future.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a call of the demo failed", e);
        } catch (InterruptedException e) {
            throw org.rattanport.kernel.error.RattanportException.interrupted();
        }
    }

    /** Polls until the condition holds; returns false if it does not within the limit. */
    public static boolean await(Duration limit, java.util.function.BooleanSupplier condition) {
        return Fleet.await(limit, condition);
    }
}
