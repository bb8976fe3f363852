package org.rattanport.kernel.exchange;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Function;
import org.rattanport.kernel.task.Tasks;

/**
 * Cases that are generated from seeds and played several at a time. The name of a case contains its
 * seed.
 */
public final class SeededCases<T> {
    /** Seeds of the cases; the property names others. */
    private static final String DEFAULT_SEEDS = "1,2,3";

    private static final String SEEDS_PROPERTY = "rattanport.exchange.seeds";

    /** Cases at a time for each engine; an engine of the stand-in has more slots. */
    public static final int CASES_PER_ENGINE = 6;

    /** Plays one case; throws if it failed. */
    public interface Player<T> {
        void play(String name, T one) throws Exception;
    }

    private final Map<String, T> mCases = new LinkedHashMap<>();

    public SeededCases(int casesPerSeed, Function<Random, T> generator) {
        for (String seed : System.getProperty(SEEDS_PROPERTY, DEFAULT_SEEDS).split(",")) {
            Random random = new Random(Long.parseLong(seed));
            for (int i = 0; i < casesPerSeed; i++) {
                mCases.put(seed + "-" + i, generator.apply(random));
            }
        }
    }

    /** Returns the case whose name is the last segment of the request target. */
    public T ofTarget(String target) {
        T found = mCases.get(target.substring(target.lastIndexOf('/') + 1));
        if (found == null) {
            throw new AssertionError("no case is named by " + target);
        }
        return found;
    }

    /** Plays all cases, a number of them at a time, and fails with every case that failed. */
    public void play(int casesAtATime, Player<T> player) throws InterruptedException {
        List<String> failures = new ArrayList<>();
        try (ExecutorService tasks =
                Executors.newFixedThreadPool(casesAtATime, Tasks.factory("case"))) {
            Map<String, Future<?>> running = new LinkedHashMap<>();
            mCases.forEach(
                    (name, one) ->
                            running.put(
                                    name,
                                    tasks.submit(
                                            () -> {
                                                player.play(name, one);
                                                return name;
                                            })));
            for (Map.Entry<String, Future<?>> each : running.entrySet()) {
                try {
                    each.getValue().get();
                } catch (ExecutionException e) {
                    failures.add(
                            "case "
                                    + each.getKey()
                                    + " "
                                    + mCases.get(each.getKey())
                                    + ": "
                                    + e.getCause());
                }
            }
        }
        if (!failures.isEmpty()) {
            throw new AssertionError(
                    failures.size()
                            + " of "
                            + mCases.size()
                            + " cases failed:\n"
                            + String.join("\n", failures));
        }
    }
}
