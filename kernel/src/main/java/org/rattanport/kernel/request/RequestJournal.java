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

/** Keeps the steps of the latest requests of this instance, so that operators can ask for them. */
public final class RequestJournal {
    private static final int KEPT_REQUESTS = 4096;
    private static final int KEPT_STEPS = 64;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TimeSource mTime;
    private final Map<RequestId, Entry> mEntries = new HashMap<>();
    private final Deque<RequestId> mOldestFirst = new ArrayDeque<>();

    public RequestJournal(TimeSource time) {
        mTime = time;
    }

    /** Notes a step; the text must hold no prompt text and no key. */
    public synchronized void note(RequestId id, String what) {
        Entry entry = entry(id);
        if (entry.mSteps.size() < KEPT_STEPS) {
            long millis = (mTime.nanoTime() - entry.mStartNanos) / NANOS_PER_MILLI;
            entry.mSteps.add(new Explanation.Step(millis, what));
        }
    }

    public synchronized Optional<Explanation> explain(RequestId id) {
        return Optional.ofNullable(mEntries.get(id))
                .map(entry -> new Explanation(id, List.copyOf(entry.mSteps)));
    }

    private Entry entry(RequestId id) {
        Entry known = mEntries.get(id);
        if (known != null) {
            return known;
        }
        Entry opened = new Entry(mTime.nanoTime());
        mEntries.put(id, opened);
        mOldestFirst.addLast(id);
        if (mOldestFirst.size() > KEPT_REQUESTS) {
            mEntries.remove(mOldestFirst.removeFirst());
        }
        return opened;
    }

    private static final class Entry {
        private final long mStartNanos;
        private final List<Explanation.Step> mSteps = new ArrayList<>();

        private Entry(long startNanos) {
            mStartNanos = startNanos;
        }
    }
}
