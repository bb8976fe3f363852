package org.rattanport.kernel.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.time.TimeSource;

/**
 * Records the steps of the latest requests of this instance, so that operators can look them up.
 */
public final class RequestJournal {
    private static final int MAX_REQUESTS = 4096;
    private static final int MAX_STEPS_PER_REQUEST = 64;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TimeSource mTime;
    private final Map<RequestId, Entry> mEntries = new HashMap<>();
    private final Deque<RequestId> mOldestFirst = new ArrayDeque<>();

    public RequestJournal(TimeSource time) {
        mTime = time;
    }

    /** Records a step. The description must contain neither prompt text nor keys. */
    public synchronized void record(RequestId id, String description) {
        Entry entry = entry(id);
        if (entry.mSteps.size() < MAX_STEPS_PER_REQUEST) {
            long millis = (mTime.nanoTime() - entry.mStartNanos) / NANOS_PER_MILLI;
            entry.mSteps.add(new Explanation.Step(millis, description));
        }
    }

    public synchronized Optional<Explanation> explain(RequestId id) {
        return Optional.ofNullable(mEntries.get(id))
                .map(entry -> new Explanation(id, List.copyOf(entry.mSteps)));
    }

    private Entry entry(RequestId id) {
        Entry existing = mEntries.get(id);
        if (existing != null) {
            return existing;
        }
        Entry created = new Entry(mTime.nanoTime());
        mEntries.put(id, created);
        mOldestFirst.addLast(id);
        if (mOldestFirst.size() > MAX_REQUESTS) {
            mEntries.remove(mOldestFirst.removeFirst());
        }
        return created;
    }

    private static final class Entry {
        private final long mStartNanos;
        private final List<Explanation.Step> mSteps = new ArrayList<>();

        private Entry(long startNanos) {
            mStartNanos = startNanos;
        }
    }
}
