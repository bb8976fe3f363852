package org.rattanport.benchmark.demo;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.rattanport.standins.ServiceFault;
import org.rattanport.standins.TableFault;
import org.rattanport.standins.fleet.ActionOutcome;
import org.rattanport.standins.fleet.FleetDocument;

/** Sends bookings to several instances while the store and the service have faults. */
public final class BookingScenario implements Scenario {
    private static final int BOOKINGS = 30;
    private static final int SENDS_PER_BOOKING = 3;
    private static final double FAULT_PROBABILITY = 0.3;

    @Override
    public int order() {
        return 20;
    }

    @Override
    public String title() {
        return "bookings and resends with a failing store and a failing service";
    }

    @Override
    public void run(DemoContext context) {
        runRound(context, "well", TableFault.NONE, ServiceFault.NONE);
        runRound(context, "lost-answers", TableFault.LOST_ANSWER, ServiceFault.NONE);
        runRound(context, "late-writes", TableFault.LATE_WRITE, ServiceFault.NONE);
        runRound(context, "crashes", TableFault.NONE, ServiceFault.RUN_THEN_CUT);
        runRound(context, "refusals", TableFault.LOST_ANSWER, ServiceFault.REFUSE);
        runRound(context, "store-down", TableFault.DOWN, ServiceFault.NONE);
    }

    private static void runRound(
            DemoContext context, String round, TableFault tableFault, ServiceFault serviceFault) {
        context.fleet().table().injectFault(tableFault, FAULT_PROBABILITY);
        context.fleet()
                .serviceTargets()
                .forEach(each -> each.injectFault(serviceFault, FAULT_PROBABILITY));
        DemoContext.runConcurrently(
                IntStream.range(0, BOOKINGS)
                        .<Callable<Boolean>>mapToObj(
                                i -> () -> checkBooking(context, round + "-" + i)));
        context.fleet().table().injectFault(TableFault.NONE, 0);
        context.fleet().serviceTargets().forEach(each -> each.injectFault(ServiceFault.NONE, 0));
    }

    /** Sends one booking to all instances at once and compares the verdicts with the run count. */
    private static boolean checkBooking(DemoContext context, String key) {
        List<ActionOutcome> outcomes =
                DemoContext.runConcurrently(
                        IntStream.range(0, SENDS_PER_BOOKING)
                                .<Callable<ActionOutcome>>mapToObj(
                                        i -> () -> book(context, i, key)));
        int runs = context.fleet().runCounter().runCount(key);
        boolean isAllNotRun = outcomes.stream().allMatch(each -> each.verdict().equals("not_run"));
        boolean isAnySuccess = outcomes.stream().anyMatch(ActionOutcome::isSuccess);
        context.promiseChecks()
                .record(Promise.AT_MOST_ONCE, runs <= 1, key + " ran " + runs + " times");
        context.promiseChecks()
                .record(
                        Promise.TRUE_NOT_RUN,
                        !(isAllNotRun && runs > 0) && !(isAnySuccess && runs == 0),
                        key + " ran " + runs + " times: " + outcomes);
        return true;
    }

    private static ActionOutcome book(DemoContext context, int instance, String key) {
        return context.fleet()
                .client()
                .callService(
                        context.fleet().callerAddress(instance),
                        FleetDocument.accountKey(0),
                        FleetDocument.SERVICE + "/book",
                        key,
                        "{\"shop\": \"Valle Central\"}");
    }
}
