package org.rattanport.decisions.ordering;

import java.util.Comparator;

/**
 * Higher priority first, where waiting raises the priority so that nothing waits forever; within a
 * priority the accounts share by weight.
 */
public final class WeightedAgeing implements OrderingPolicy {
    @Override
    public boolean separatesLengthClasses() {
        return true;
    }

    @Override
    public Comparator<QueueEntry> order(long nowNanos) {
        return Comparator.comparingLong((QueueEntry each) -> -agedPriority(each, nowNanos))
                .thenComparingDouble(QueueEntry::finishTag)
                .thenComparingLong(QueueEntry::arrivalNanos);
    }

    /** Priority of the entry with one more for each ageing period that it has waited. */
    static long agedPriority(QueueEntry entry, long nowNanos) {
        long ageingNanos = Math.max(1, entry.document().limits().ageing().toNanos());
        return entry.request().priority() + (nowNanos - entry.arrivalNanos()) / ageingNanos;
    }
}
