package org.rattanport.benchmark.measure;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicBoolean;
import org.HdrHistogram.Histogram;
import org.rattanport.benchmark.demo.DemoContext;
import org.rattanport.connectors.json.Json;
import org.rattanport.daemon.Instance;
import org.rattanport.daemon.command.Command;
import org.rattanport.daemon.command.CommandOutput;
import org.rattanport.daemon.command.ExitCode;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.settings.InstanceSettings.Timings;
import org.rattanport.standins.TableFault;
import org.rattanport.standins.engine.EngineProfile;
import org.rattanport.standins.fleet.Fleet;
import org.rattanport.standins.fleet.FleetDocument;

/** Measures the time from the acceptance of a document until it is active on every instance. */
public final class MeasureDocumentsCommand implements Command {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final Duration MAX_WAIT = Duration.ofSeconds(60);

    private static final class Options {
        @Parameter(names = "--seed", description = "seed of the faults")
        private long mSeed = 1;

        @Parameter(names = "--instances", description = "number of entry instances")
        private int mInstances = 18;

        @Parameter(names = "--changes", description = "document changes for each fault")
        private int mChanges = 20;

        @Parameter(names = "--json", description = "print the result as JSON")
        private boolean mIsJson;
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "measure documents";
    }

    @Override
    public String summary() {
        return "measure the time until an accepted document is active on all instances";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        ObjectNode result = Json.newObject();
        Fleet.Builder builder =
                Fleet.builder()
                        .instances(mOptions.mInstances)
                        .engines(1, EngineProfile.defaults(1))
                        .timings(Timings.defaults())
                        .seed(mOptions.mSeed);
        int reversals = 0;
        try (Fleet fleet = builder.start()) {
            for (TableFault fault :
                    List.of(TableFault.NONE, TableFault.STALE_READ, TableFault.DOWN)) {
                ObjectNode metrics = measure(fleet, fault);
                reversals += metrics.path("reversals").asInt();
                result.set("store fault after acceptance: " + fault, metrics);
            }
        }
        ResultPrinter.print(result, mOptions.mIsJson, output);
        return reversals == 0 ? ExitCode.SUCCESS : ExitCode.FAILED;
    }

    private ObjectNode measure(Fleet fleet, TableFault fault) {
        Histogram micros = new Histogram(SIGNIFICANT_DIGITS);
        int reversals = 0;
        for (int i = 0; i < mOptions.mChanges; i++) {
            FleetDocument document =
                    FleetDocument.withAccounts(10).withMaxTimeLimitSeconds(300 + i);
            fleet.table().captureStaleSnapshot();
            long version = fleet.putDocument(Stage.PRODUCTION, document);
            long acceptedNanos = System.nanoTime();
            fleet.table().injectFault(fault, 1);
            List<Callable<Long>> waits = new ArrayList<>();
            AtomicBoolean hasReverted = new AtomicBoolean();
            fleet.instances()
                    .forEach(
                            each ->
                                    waits.add(
                                            () ->
                                                    awaitActivationMicros(
                                                            each,
                                                            version,
                                                            acceptedNanos,
                                                            hasReverted)));
            DemoContext.runConcurrently(waits.stream()).forEach(micros::recordValue);
            fleet.table().injectFault(TableFault.NONE, 0);
            reversals += hasReverted.get() ? 1 : 0;
        }
        ObjectNode metrics = Json.newObject();
        metrics.put("in_force_seconds_p50", micros.getValueAtPercentile(50) / MICROS_PER_SECOND);
        metrics.put("in_force_seconds_p99", micros.getValueAtPercentile(99) / MICROS_PER_SECOND);
        metrics.put("in_force_seconds_worst", micros.getMaxValue() / MICROS_PER_SECOND);
        metrics.put("reversals", reversals);
        return metrics;
    }

    private static long awaitActivationMicros(
            Instance instance, long version, long acceptedNanos, AtomicBoolean hasReverted) {
        ActiveEnvironments environment = instance.context().require(ActiveEnvironments.class);
        long[] lastVersion = {0};
        Fleet.await(
                MAX_WAIT,
                () -> {
                    long current = environment.activeVersion(Stage.PRODUCTION);
                    if (current < lastVersion[0]) {
                        hasReverted.set(true);
                    }
                    lastVersion[0] = current;
                    return current >= version;
                });
        return (long) ((System.nanoTime() - acceptedNanos) / NANOS_PER_SECOND * MICROS_PER_SECOND);
    }
}
