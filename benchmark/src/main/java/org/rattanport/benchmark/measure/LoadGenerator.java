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

/** Sends a workload to a fleet with one policy and gathers what its callers saw. */
public final class LoadGenerator {
    private static final double NANOS_PER_SECOND = 1e9;

    private final int mInstances;
    private final double mTimeScale;
    private final PromptTextGenerator mPromptText;
    private final TimeSource mTime = new SystemTimeSource();

    public LoadGenerator(int instances, double timeScale, PromptTextGenerator text) {
        mInstances = instances;
        mTimeScale = timeScale;
        mPromptText = text;
    }

    /** One prompt and what came of it, with times in engine seconds. */
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

    /** Runs the workload for the given engine time; only arrivals that pass the filter are sent. */
    public List<PromptResult> run(
            Workload workload,
            PolicyChoice policy,
            long seed,
            double seconds,
            Predicate<Workload.Arrival> filter) {
        EngineProfile profile = EngineProfile.defaults(mTimeScale);
        Fleet.Builder builder =
                Fleet.builder()
                        .instances(mInstances)
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
     * Shares as an operator sets them: by the square roots of the classes' shares of the tokens,
     * which gives short classes more room than their tokens alone and leaves the rest to borrowing.
     */
    private static FleetDocument document(Workload workload) {
        double sum = workload.classes().stream().mapToDouble(each -> engineShareWeight(each)).sum();
        int shortShare = percent(engineShareWeight(workload.classes().get(0)), sum);
        int middleShare = percent(engineShareWeight(workload.classes().get(1)), sum);
        return FleetDocument.withAccounts(workload.accounts())
                .withEngineShares(shortShare, middleShare, 100 - shortShare - middleShare, 60);
    }

    private static double engineShareWeight(WorkloadClass lengthClass) {
        return Math.sqrt(lengthClass.arrivalShare() * lengthClass.meanPromptTokens());
    }

    private static int percent(double part, double sum) {
        return (int) Math.round(100 * part / sum);
    }

    private List<PromptResult> send(Fleet fleet, List<Workload.Arrival> arrivals) {
        long start = mTime.nanoTime();
        List<Future<PromptResult>> started = new ArrayList<>();
        try (ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor()) {
            for (Workload.Arrival arrival : arrivals) {
                long at = start + (long) (arrival.atSeconds() / mTimeScale * NANOS_PER_SECOND);
                long left = at - mTime.nanoTime();
                if (left > 0) {
                    mTime.sleep(Duration.ofNanos(left));
                }
                started.add(tasks.submit(() -> send(fleet, arrival)));
            }
        }
        return started.stream().map(Future::resultNow).toList();
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
        double factor = mTimeScale / NANOS_PER_SECOND;
        return new PromptResult(
                arrival,
                outcome,
                outcome.firstTokenNanos() * factor,
                outcome.totalNanos() * factor);
    }
}
