package org.rattanport.benchmark.measure;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.rattanport.benchmark.demo.DemoContext;
import org.rattanport.connectors.json.Json;
import org.rattanport.daemon.command.Command;
import org.rattanport.daemon.command.CommandOutput;
import org.rattanport.daemon.command.ExitCode;
import org.rattanport.standins.ServiceFault;
import org.rattanport.standins.TableFault;
import org.rattanport.standins.engine.EngineProfile;
import org.rattanport.standins.fleet.ActionOutcome;
import org.rattanport.standins.fleet.Fleet;
import org.rattanport.standins.fleet.FleetDocument;

/** Measures non-idempotent service calls, each sent twice, with and without injected faults. */
public final class MeasureActionsCommand implements Command {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double FAULT_PROBABILITY = 0.3;
    private static final int SIGNIFICANT_DIGITS = 3;

    private record FaultCase(String name, TableFault tableFault, ServiceFault serviceFault) {}

    private static final List<FaultCase> FAULT_CASES =
            List.of(
                    new FaultCase("no fault", TableFault.NONE, ServiceFault.NONE),
                    new FaultCase("store loses answers", TableFault.LOST_ANSWER, ServiceFault.NONE),
                    new FaultCase("store writes late", TableFault.LATE_WRITE, ServiceFault.NONE),
                    new FaultCase("store down at times", TableFault.DOWN, ServiceFault.NONE),
                    new FaultCase("service crashes", TableFault.NONE, ServiceFault.RUN_THEN_CUT),
                    new FaultCase("service refuses", TableFault.NONE, ServiceFault.REFUSE),
                    new FaultCase(
                            "store loses answers and service crashes",
                            TableFault.LOST_ANSWER,
                            ServiceFault.RUN_THEN_CUT));

    private static final class Options {
        @Parameter(names = "--seed", description = "seed of the faults")
        private long mSeed = 1;

        @Parameter(names = "--actions", description = "actions for each fault")
        private int mActions = 2000;

        @Parameter(names = "--callers", description = "number of concurrent callers")
        private int mCallers = 64;

        @Parameter(names = "--instances", description = "number of entry instances")
        private int mInstances = 3;

        @Parameter(names = "--json", description = "print the result as JSON")
        private boolean mIsJson;
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "measure actions";
    }

    @Override
    public String summary() {
        return "measure non-idempotent service calls under faults of the store and the service";
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
                        .serviceTargets(3)
                        .seed(mOptions.mSeed);
        boolean hasNoViolation = true;
        try (Fleet fleet = builder.start()) {
            for (FaultCase faultCase : FAULT_CASES) {
                ObjectNode metrics = measure(fleet, faultCase);
                hasNoViolation &= metrics.path("double_runs").asLong() == 0;
                hasNoViolation &= metrics.path("false_not_run").asLong() == 0;
                result.set(faultCase.name(), metrics);
            }
        }
        ResultPrinter.print(result, mOptions.mIsJson, output);
        return hasNoViolation ? ExitCode.SUCCESS : ExitCode.FAILED;
    }

    private ObjectNode measure(Fleet fleet, FaultCase faultCase) {
        fleet.table().injectFault(faultCase.tableFault(), FAULT_PROBABILITY);
        fleet.serviceTargets()
                .forEach(each -> each.injectFault(faultCase.serviceFault(), FAULT_PROBABILITY));
        CaseRun run = new CaseRun(fleet, faultCase.name());
        long writesBefore = fleet.table().transactionCount();
        long startNanos = System.nanoTime();
        DemoContext.runConcurrently(
                IntStream.range(0, mOptions.mCallers)
                        .<Callable<Boolean>>mapToObj(caller -> () -> sendAll(run, caller)));
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        long writes = fleet.table().transactionCount() - writesBefore;
        fleet.table().injectFault(TableFault.NONE, 0);
        fleet.serviceTargets().forEach(each -> each.injectFault(ServiceFault.NONE, 0));
        ObjectNode metrics = Json.newObject();
        metrics.put("actions_a_second", mOptions.mActions / seconds);
        metrics.put("transactions_an_action", (double) writes / mOptions.mActions);
        metrics.put("first_send_millis_p50", run.firstSendMillis(50));
        metrics.put("first_send_millis_p99", run.firstSendMillis(99));
        metrics.put("answered", run.mAnswered.get());
        metrics.put("not_run", run.mNotRun.get());
        metrics.put("may_have_run", run.mMayHaveRun.get());
        metrics.put("double_runs", run.mDoubleRuns.get());
        metrics.put("false_not_run", run.mFalseNotRun.get());
        return metrics;
    }

    private boolean sendAll(CaseRun run, int caller) {
        for (int i = caller; i < mOptions.mActions; i += mOptions.mCallers) {
            run.sendTwice(i);
        }
        return true;
    }

    /** Sends the actions of one fault case and counts their outcomes. */
    private static final class CaseRun {
        private final Fleet mFleet;
        private final String mCaseName;
        private final Histogram mFirstSendNanos = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
        private final AtomicInteger mAnswered = new AtomicInteger();
        private final AtomicInteger mNotRun = new AtomicInteger();
        private final AtomicInteger mMayHaveRun = new AtomicInteger();
        private final AtomicInteger mDoubleRuns = new AtomicInteger();
        private final AtomicInteger mFalseNotRun = new AtomicInteger();

        private CaseRun(Fleet fleet, String name) {
            mFleet = fleet;
            mCaseName = name;
        }

        private double firstSendMillis(int percentile) {
            return mFirstSendNanos.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
        }

        /**
         * Sends an action twice, to two instances, and compares the verdicts with the run count. A
         * verdict not run is false if the service had executed the action before the verdict.
         */
        private void sendTwice(int number) {
            String key = mCaseName + "-" + number;
            long startNanos = System.nanoTime();
            ActionOutcome first = call(number, key);
            mFirstSendNanos.recordValue(System.nanoTime() - startNanos);
            count(first);
            int runsAfterFirst = mFleet.runCounter().runCount(key);
            ActionOutcome second = call(number + 1, key);
            int runs = mFleet.runCounter().runCount(key);
            if (runs > 1) {
                mDoubleRuns.incrementAndGet();
            }
            boolean isFirstFalse = first.verdict().equals("not_run") && runsAfterFirst > 0;
            boolean isSecondFalse =
                    first.verdict().equals("not_run")
                            && second.verdict().equals("not_run")
                            && runs > 0;
            if (isFirstFalse || isSecondFalse) {
                mFalseNotRun.incrementAndGet();
            }
        }

        private void count(ActionOutcome outcome) {
            if (outcome.isSuccess()) {
                mAnswered.incrementAndGet();
            } else if (outcome.verdict().equals("not_run")) {
                mNotRun.incrementAndGet();
            } else {
                mMayHaveRun.incrementAndGet();
            }
        }

        private ActionOutcome call(int number, String key) {
            int instance = Math.floorMod(number, mFleet.instances().size());
            return mFleet.client()
                    .callService(
                            mFleet.callerAddress(instance),
                            FleetDocument.accountKey(0),
                            FleetDocument.SERVICE + "/book",
                            key,
                            "{\"action\": " + number + "}");
        }
    }
}
