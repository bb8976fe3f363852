package org.rattanport.decisions.ordering;

import java.util.Comparator;

/**
 * Higher priority first, where waiting raises the priority so that nothing waits forever; within a
 * priority the accounts share by weight. An entry that has used most of its time goes before all
 * that have not, the earliest deadline first, so that sharing by weight costs no admitted request
 * its deadline.
 */
public final class WeightedAgeing implements OrderingPolicy {
    private static final double URGENT_REMAINING_SHARE = 0.5;

    @Override
    public boolean separatesLengthClasses() {
        return true;
    }

    @Override
    public Comparator<QueueEntry> order(long nowNanos) {
        return Comparator.comparingLong((QueueEntry each) -> urgency(each, nowNanos))
                .thenComparingLong(each -> -agedPriority(each, nowNanos))
                .thenComparingDouble(QueueEntry::finishTag)
                .thenComparingLong(QueueEntry::arrivalNanos);
    }

    /** Time left of an urgent entry; the greatest number for all others. */
    private static long urgency(QueueEntry entry, long nowNanos) {
        long remaining = entry.request().deadline().nanos() - nowNanos;
        long limit = entry.request().timeLimit().toNanos();
        return remaining < limit * URGENT_REMAINING_SHARE ? remaining : Long.MAX_VALUE;
    }

    /** Priority of the entry with one more for each ageing period that it has waited. */
    static long agedPriority(QueueEntry entry, long nowNanos) {
        long ageingNanos = Math.max(1, entry.document().limits().ageing().toNanos());
        return entry.request().priority() + (nowNanos - entry.arrivalNanos()) / ageingNanos;
    }
}
