package org.rattanport.benchmark.demo;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Counts, for each promise, the cases that were checked and those in which it broke. */
public final class PromiseChecks {
    private static final int MAX_RECORDED_FAILURES = 20;

    private final Map<Promise, int[]> mCounts = new EnumMap<>(Promise.class);
    private final List<String> mFailures = new ArrayList<>();

    /** Counts one case; the text describes it when the promise broke. */
    public synchronized void record(Promise promise, boolean isKept, String what) {
        int[] counts = mCounts.computeIfAbsent(promise, ignored -> new int[2]);
        counts[0]++;
        if (!isKept) {
            counts[1]++;
            if (mFailures.size() < MAX_RECORDED_FAILURES) {
                mFailures.add(promise + ": " + what);
            }
        }
    }

    public synchronized int checkedCases(Promise promise) {
        return mCounts.getOrDefault(promise, new int[2])[0];
    }

    public synchronized int violations(Promise promise) {
        return mCounts.getOrDefault(promise, new int[2])[1];
    }

    /** Descriptions of the first broken cases. */
    public synchronized List<String> failures() {
        return List.copyOf(mFailures);
    }

    /** Whether every promise was checked and none broke. */
    public boolean areAllKept() {
        for (Promise promise : Promise.values()) {
            if (checkedCases(promise) == 0 || violations(promise) > 0) {
                return false;
            }
        }
        return true;
    }
}
