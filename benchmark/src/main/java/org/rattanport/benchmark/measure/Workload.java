package org.rattanport.benchmark.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A stream of prompts at random times.
 *
 * @param name label
 * @param engines engines of the fleet
 * @param accounts client accounts, the first of which sends more than the others
 * @param classes its length classes
 * @param offeredLoad offered load as a share of what the engines can read
 */
public record Workload(
        String name, int engines, int accounts, List<WorkloadClass> classes, double offeredLoad) {
    /** Share of an engine's reading rate that generation leaves over. */
    private static final double PREFILL_SHARE = 0.8;

    private static final double FIRST_ACCOUNT_SHARE = 0.3;

    /** One prompt of a run. */
    public record Arrival(
            double atSeconds,
            WorkloadClass lengthClass,
            int promptTokens,
            int account,
            int number) {}

    /** Haneul: mostly short prompts, few very long ones. */
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

    /** Cordillera: more long prompts on fewer engines. */
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

    /** The same short prompts at the same times, without the others. */
    public Workload withName(String newName) {
        return new Workload(newName, engines, accounts, classes, offeredLoad);
    }

    /** Arrivals in a second of engine time. */
    public double arrivalsPerSecond(double engineTokensPerSecond) {
        double meanTokens =
                classes.stream()
                        .mapToDouble(each -> each.arrivalShare() * each.meanPromptTokens())
                        .sum();
        return offeredLoad * PREFILL_SHARE * engines * engineTokensPerSecond / meanTokens;
    }

    /** All arrivals of a run; the same for the same seed. */
    public List<Arrival> arrivals(long seed, double seconds, double engineTokensPerSecond) {
        Random random = new Random(seed);
        double rate = arrivalsPerSecond(engineTokensPerSecond);
        List<Arrival> arrivals = new ArrayList<>();
        double at = 0;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / rate;
            if (at >= seconds) {
                return arrivals;
            }
            WorkloadClass lengthClass = lengthClass(random.nextDouble());
            double spread =
                    Math.log(
                            (double) lengthClass.maxPromptTokens() / lengthClass.minPromptTokens());
            int tokens =
                    (int) (lengthClass.minPromptTokens() * Math.exp(random.nextDouble() * spread));
            int account = random.nextDouble() < FIRST_ACCOUNT_SHARE ? 0 : random.nextInt(accounts);
            arrivals.add(new Arrival(at, lengthClass, tokens, account, arrivals.size()));
        }
    }

    private WorkloadClass lengthClass(double point) {
        double sum = 0;
        for (WorkloadClass each : classes) {
            sum += each.arrivalShare();
            if (point < sum) {
                return each;
            }
        }
        return classes.getLast();
    }
}
