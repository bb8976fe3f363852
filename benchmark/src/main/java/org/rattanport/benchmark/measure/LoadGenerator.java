package org.rattanport.benchmark.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Predicate;
import org.rattanport.benchmark.PromptTextGenerator;
import org.rattanport.kernel.settings.PolicyChoice;
import org.rattanport.kernel.time.SystemTimeSource;
import org.rattanport.kernel.time.TimeSource;
import org.rattanport.standins.engine.EngineProfile;
import org.rattanport.standins.fleet.CallerClient;
import org.rattanport.standins.fleet.Fleet;
import org.rattanport.standins.fleet.FleetDocument;
import org.rattanport.standins.fleet.PromptOutcome;

/** Sends a workload to a fleet that uses one policy and collects the outcome of each prompt. */
public final class LoadGenerator {
    private static final double NANOS_PER_SECOND = 1e9;

    private final int mInstanceCount;
    private final double mTimeScale;
    private final PromptTextGenerator mPromptText;
    private final TimeSource mTime = new SystemTimeSource();

    public LoadGenerator(int instanceCount, double timeScale, PromptTextGenerator promptText) {
        mInstanceCount = instanceCount;
        mTimeScale = timeScale;
        mPromptText = promptText;
    }

    /** Outcome of one prompt, with times in engine seconds. */
    public record PromptResult(
            Workload.Arrival arrival,
            PromptOutcome outcome,
            double firstTokenSeconds,
            double totalSeconds) {
        public boolean isAnswered() {
            return outcome.isComplete();
        }

        public boolean isRefused() {
            return outcome.verdict().equals("not_run");
        }
    }

    /** Sends the arrivals that the filter accepts; the run lasts the given engine time. */
    public List<PromptResult> run(
            Workload workload,
            PolicyChoice policy,
            long seed,
            double seconds,
            Predicate<Workload.Arrival> filter) {
        EngineProfile profile = EngineProfile.defaults(mTimeScale);
        Fleet.Builder builder =
                Fleet.builder()
                        .instances(mInstanceCount)
                        .engines(workload.engines(), profile)
                        .policy(policy)
                        .document(document(workload));
        double tokensPerEngineSecond = profile.reportedPrefillTokensPerSecond() / mTimeScale;
        List<Workload.Arrival> arrivals =
                workload.arrivals(seed, seconds, tokensPerEngineSecond).stream()
                        .filter(filter)
                        .toList();
        try (Fleet fleet = builder.start()) {
            return send(fleet, arrivals);
        }
    }

    /**
     * Sets the engine shares as an operator does: in proportion to the square root of each class's
     * share of the tokens. Short classes get more than in proportion to their tokens, and long
     * classes borrow unused shares.
     */
    private static FleetDocument document(Workload workload) {
        double totalWeight =
                workload.classes().stream().mapToDouble(each -> engineShareWeight(each)).sum();
        int shortShare = percent(engineShareWeight(workload.classes().get(0)), totalWeight);
        int middleShare = percent(engineShareWeight(workload.classes().get(1)), totalWeight);
        return FleetDocument.withAccounts(workload.accounts())
                .withEngineShares(shortShare, middleShare, 100 - shortShare - middleShare, 60);
    }

    private static double engineShareWeight(WorkloadClass lengthClass) {
        return Math.sqrt(lengthClass.arrivalShare() * lengthClass.meanPromptTokens());
    }

    private static int percent(double part, double total) {
        return (int) Math.round(100 * part / total);
    }

    private List<PromptResult> send(Fleet fleet, List<Workload.Arrival> arrivals) {
        long startNanos = mTime.nanoTime();
        List<Future<PromptResult>> futures = new ArrayList<>();
        try (ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor()) {
            for (Workload.Arrival arrival : arrivals) {
                long sendNanos =
                        startNanos + (long) (arrival.atSeconds() / mTimeScale * NANOS_PER_SECOND);
                long remainingNanos = sendNanos - mTime.nanoTime();
                if (remainingNanos > 0) {
                    mTime.sleep(Duration.ofNanos(remainingNanos));
                }
                futures.add(tasks.submit(() -> send(fleet, arrival)));
            }
        }
        return futures.stream().map(Future::resultNow).toList();
    }

    private PromptResult send(Fleet fleet, Workload.Arrival arrival) {
        String name = arrival.lengthClass().name() + "-" + arrival.number();
        CallerClient.Prompt prompt =
                new CallerClient.Prompt(
                        FleetDocument.accountKey(arrival.account()),
                        FleetDocument.MODEL,
                        mPromptText.generate(name, arrival.promptTokens()),
                        arrival.lengthClass().maxOutputTokens(),
                        arrival.lengthClass().timeLimitSeconds() / mTimeScale);
        int instance = Math.floorMod(name.hashCode(), fleet.instances().size());
        PromptOutcome outcome = fleet.client().sendPrompt(fleet.callerAddress(instance), prompt);
        double engineSecondsPerNano = mTimeScale / NANOS_PER_SECOND;
        return new PromptResult(
                arrival,
                outcome,
                outcome.firstTokenNanos() * engineSecondsPerNano,
                outcome.totalNanos() * engineSecondsPerNano);
    }
}
