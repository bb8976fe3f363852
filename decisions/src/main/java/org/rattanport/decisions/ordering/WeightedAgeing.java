package org.rattanport.decisions.ordering;

import java.util.Comparator;

/**
 * Orders by priority with ageing, and by weighted fair queueing among entries of equal priority.
 * Ageing raises the priority of waiting entries, which prevents starvation. Urgent entries, which
 * have less than half of their time limit left, go before all others, earliest deadline first, so
 * that fair queueing does not make an admitted request miss its deadline.
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

    /** Remaining time of an urgent entry; {@code Long.MAX_VALUE} for all others. */
    private static long urgency(QueueEntry entry, long nowNanos) {
        long remaining = entry.request().deadline().nanos() - nowNanos;
        long limit = entry.request().timeLimit().toNanos();
        return remaining < limit * URGENT_REMAINING_SHARE ? remaining : Long.MAX_VALUE;
    }

    /** Priority of the entry, plus one for each ageing period that it has waited. */
    static long agedPriority(QueueEntry entry, long nowNanos) {
        long ageingNanos = Math.max(1, entry.document().limits().ageingInterval().toNanos());
        return entry.request().priority() + (nowNanos - entry.arrivalNanos()) / ageingNanos;
    }
}
