package org.rattanport.benchmark.demo;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Counts the checked cases and the violations of each promise. */
public final class PromiseChecks {
    private static final int MAX_RECORDED_FAILURES = 20;

    private final Map<Promise, int[]> mCounts = new EnumMap<>(Promise.class);
    private final List<String> mFailures = new ArrayList<>();

    /** Records one case; the description is retained if the case violates the promise. */
    public synchronized void record(Promise promise, boolean isKept, String description) {
        int[] counts = mCounts.computeIfAbsent(promise, ignored -> new int[2]);
        counts[0]++;
        if (!isKept) {
            counts[1]++;
            if (mFailures.size() < MAX_RECORDED_FAILURES) {
                mFailures.add(promise + ": " + description);
            }
        }
    }

    public synchronized int checkedCases(Promise promise) {
        return mCounts.getOrDefault(promise, new int[2])[0];
    }

    public synchronized int violations(Promise promise) {
        return mCounts.getOrDefault(promise, new int[2])[1];
    }

    /** Returns the descriptions of the first 20 violations. */
    public synchronized List<String> failures() {
        return List.copyOf(mFailures);
    }

    /** Returns whether every promise was checked and none was violated. */
    public boolean areAllKept() {
        for (Promise promise : Promise.values()) {
            if (checkedCases(promise) == 0 || violations(promise) > 0) {
                return false;
            }
        }
        return true;
    }
}
