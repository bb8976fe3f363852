package org.rattanport.benchmark.demo;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.rattanport.daemon.Instance;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.standins.TableFault;
import org.rattanport.standins.fleet.ActionOutcome;
import org.rattanport.standins.fleet.FleetDocument;

/** Checks document versions under concurrent edits, a promotion and stale reads of the store. */
public final class DocumentScenario implements Scenario {
    private static final Duration ACTIVATION_LIMIT = Duration.ofSeconds(5);

    @Override
    public int order() {
        return 30;
    }

    @Override
    public String title() {
        return "concurrent edits, a promotion, lost responses and stale reads";
    }

    @Override
    public void run(DemoContext context) {
        raceEdits(context);
        promoteTrial(context);
        injectStaleReads(context);
    }

    private static void raceEdits(DemoContext context) {
        long versionBefore = activeVersion(context.fleet().instances().getFirst(), Stage.TRIAL);
        context.fleet().table().injectFault(TableFault.LOST_ANSWER, 0.5);
        long accepted =
                DemoContext.runConcurrently(
                                IntStream.range(0, 3)
                                        .<Callable<ActionOutcome>>mapToObj(
                                                i ->
                                                        () ->
                                                                context.fleet()
                                                                        .putDocument(
                                                                                context.fleet()
                                                                                        .instances()
                                                                                        .get(i),
                                                                                Stage.TRIAL,
                                                                                document(400 + i),
                                                                                versionBefore,
                                                                                "operator-" + i)))
                        .stream()
                        .filter(ActionOutcome::isSuccess)
                        .count();
        context.fleet().table().injectFault(TableFault.NONE, 0);
        context.promiseChecks()
                .record(
                        Promise.DOCUMENT_IN_FORCE,
                        accepted == 1,
                        accepted + " of three concurrent edits were accepted");
        checkActive(context, Stage.TRIAL, versionBefore + 1);
    }

    private static void promoteTrial(DemoContext context) {
        Instance instance = context.fleet().instances().getFirst();
        long trialVersion = activeVersion(instance, Stage.TRIAL);
        long productionVersion = activeVersion(instance, Stage.PRODUCTION);
        ActionOutcome outcome = context.fleet().promote(instance, trialVersion, productionVersion);
        context.promiseChecks()
                .record(
                        Promise.DOCUMENT_IN_FORCE,
                        outcome.isSuccess(),
                        "the promotion failed: " + outcome);
        ActionOutcome repeated = context.fleet().promote(instance, trialVersion, productionVersion);
        context.promiseChecks()
                .record(
                        Promise.DOCUMENT_IN_FORCE,
                        repeated.code().equals("version_conflict"),
                        "a promotion with an old expected version was not refused: " + repeated);
        checkActive(context, Stage.PRODUCTION, productionVersion + 1);
    }

    private static void injectStaleReads(DemoContext context) {
        context.fleet().table().captureStaleSnapshot();
        long version = context.fleet().putDocument(Stage.PRODUCTION, document(599));
        checkActive(context, Stage.PRODUCTION, version);
        context.fleet().table().injectFault(TableFault.STALE_READ, 0.7);
        boolean hasReverted =
                DemoContext.await(
                        Duration.ofSeconds(2),
                        () ->
                                context.fleet().instances().stream()
                                        .anyMatch(
                                                each ->
                                                        activeVersion(each, Stage.PRODUCTION)
                                                                < version));
        context.fleet().table().injectFault(TableFault.NONE, 0);
        context.promiseChecks()
                .record(Promise.DOCUMENT_IN_FORCE, !hasReverted, "a stale read reverted a version");
    }

    private static void checkActive(DemoContext context, Stage stage, long version) {
        for (Instance instance : context.fleet().instances()) {
            boolean isActive =
                    DemoContext.await(
                            ACTIVATION_LIMIT, () -> activeVersion(instance, stage) == version);
            context.promiseChecks()
                    .record(
                            Promise.DOCUMENT_IN_FORCE,
                            isActive,
                            stage + " version " + version + " is not active at " + instance.id());
        }
    }

    private static long activeVersion(Instance instance, Stage stage) {
        return instance.context().require(ActiveEnvironments.class).activeVersion(stage);
    }

    private static FleetDocument document(int timeLimitSeconds) {
        return FleetDocument.withAccounts(4).withMaxTimeLimitSeconds(timeLimitSeconds);
    }
}
