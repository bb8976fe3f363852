package org.rattanport.decisions.ordering;

import java.util.Comparator;

/** Baseline: one queue for all length classes, in the order of arrival. */
public final class FirstInFirstOut implements OrderingPolicy {
    @Override
    public boolean separatesLengthClasses() {
        return false;
    }

    @Override
    public Comparator<QueueEntry> order(long nowNanos) {
        return Comparator.comparingLong(QueueEntry::arrivalNanos);
    }
}
