package org.rattanport.benchmark.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Prompts with random lengths that arrive at random times.
 *
 * @param name name in the results
 * @param engines number of engines of the fleet
 * @param accounts number of client accounts; the first sends more than the others
 * @param classes length classes of the prompts
 * @param offeredLoad offered load as a share of the engines' prefill capacity
 */
public record Workload(
        String name, int engines, int accounts, List<WorkloadClass> classes, double offeredLoad) {
    /** Share of an engine's prefill rate that remains while the engine also decodes. */
    private static final double PREFILL_SHARE = 0.8;

    private static final double FIRST_ACCOUNT_SHARE = 0.3;

    /** One prompt of a run. */
    public record Arrival(
            double atSeconds,
            WorkloadClass lengthClass,
            int promptTokens,
            int account,
            int number) {}

    /** Workload with mostly short prompts and few very long ones. */
    public static Workload haneul(double load) {
        return new Workload(
                "haneul",
                20,
                10,
                List.of(
                        new WorkloadClass("short", 0.92, 1_000, 4_000, 48, 20),
                        new WorkloadClass("middle", 0.06, 10_000, 60_000, 64, 90),
                        new WorkloadClass("long", 0.02, 100_000, 350_000, 96, 300)),
                load);
    }

    /** Workload with more long prompts on fewer engines. */
    public static Workload cordillera(double load) {
        return new Workload(
                "cordillera",
                16,
                10,
                List.of(
                        new WorkloadClass("short", 0.80, 1_000, 4_000, 48, 20),
                        new WorkloadClass("middle", 0.15, 10_000, 60_000, 64, 90),
                        new WorkloadClass("long", 0.05, 100_000, 350_000, 96, 300)),
                load);
    }

    /** Returns the same workload under another name. */
    public Workload withName(String newName) {
        return new Workload(newName, engines, accounts, classes, offeredLoad);
    }

    /** Number of arrivals per engine second. */
    public double arrivalsPerSecond(double engineTokensPerSecond) {
        double meanTokens =
                classes.stream()
                        .mapToDouble(each -> each.arrivalShare() * each.meanPromptTokens())
                        .sum();
        return offeredLoad * PREFILL_SHARE * engines * engineTokensPerSecond / meanTokens;
    }

    /** Generates the arrivals of a run; equal seeds give equal arrivals. */
    public List<Arrival> arrivals(long seed, double seconds, double engineTokensPerSecond) {
        Random random = new Random(seed);
        double arrivalRate = arrivalsPerSecond(engineTokensPerSecond);
        List<Arrival> arrivals = new ArrayList<>();
        double atSeconds = 0;
        while (true) {
            atSeconds += -Math.log(1 - random.nextDouble()) / arrivalRate;
            if (atSeconds >= seconds) {
                return arrivals;
            }
            WorkloadClass lengthClass = lengthClass(random.nextDouble());
            double logRange =
                    Math.log(
                            (double) lengthClass.maxPromptTokens() / lengthClass.minPromptTokens());
            int tokens =
                    (int)
                            (lengthClass.minPromptTokens()
                                    * Math.exp(random.nextDouble() * logRange));
            int account = random.nextDouble() < FIRST_ACCOUNT_SHARE ? 0 : random.nextInt(accounts);
            arrivals.add(new Arrival(atSeconds, lengthClass, tokens, account, arrivals.size()));
        }
    }

    private WorkloadClass lengthClass(double point) {
        double cumulativeShare = 0;
        for (WorkloadClass each : classes) {
            cumulativeShare += each.arrivalShare();
            if (point < cumulativeShare) {
                return each;
            }
        }
        return classes.getLast();
    }
}
